// The fleet's shared state: its merge and codec as properties, one replica against bad peers, and many of
// them on a simulated network through thousands of seeded schedules of faults.
#include "replication/replica.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "lab/simulated_network.hpp"

namespace ochregrade::replication {
// Equality of all that is held, not only of what the fingerprint covers.
template <class Value>
bool operator==(const Record<Value>& a, const Record<Value>& b) {
    return a.count == b.count && a.value == b.value && a.expires == b.expires && a.firsthand == b.firsthand;
}
bool operator==(const OriginState& a, const OriginState& b) {
    return a.standing() == b.standing() && a.floor() == b.floor() && a.evidence() == b.evidence() &&
           a.versions() == b.versions();
}
}  // namespace ochregrade::replication

namespace {

using namespace ochregrade::replication;
using ochregrade::lab::Network;
using ochregrade::lab::SimFleet;

// One write that may reach a holder: few lives, keys and counts, so that they meet often, and the same count
// may stand for two values, as a forger would have it.
struct Write {
    std::uint32_t life, count;
    int what;
    EndpointKey server;
    Evidence evidence;
    MemberState standing;
    Versions versions;
    Millis expires;
    bool firsthand;
    bool apply(OriginState& to) const {
        if (what == 0) return to.join(standing);
        if (what == 1) return to.join(life, Record<Versions>{count, versions, 0, firsthand});
        return to.join(life, server, Record<Evidence>{count, evidence, expires, firsthand});
    }
};

rc::Gen<Write> write(std::uint32_t keys) {
    return rc::gen::apply(
        [=](std::uint32_t life, std::uint32_t count, int what, std::uint32_t key, std::uint8_t bad,
            int status, int left, bool firsthand) {
            Write w{life,
                    count,
                    what,
                    key,
                    {1, bad, 0, 0},
                    {life, count % 3, static_cast<Status>(status)},
                    {bad, key, 0, count},
                    100.0 + left,
                    firsthand};
            return w;
        },
        rc::gen::inRange<std::uint32_t>(1, 3), rc::gen::inRange<std::uint32_t>(1, 3 * keys),
        rc::gen::weightedElement<int>({{1, 0}, {1, 1}, {6, 2}}), rc::gen::inRange<std::uint32_t>(0, keys),
        rc::gen::inRange<std::uint8_t>(0, 2), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
        rc::gen::arbitrary<bool>());
}

OriginState state_of(const std::vector<Write>& writes) {
    OriginState s;
    for (const Write& w : writes) w.apply(s);
    return s;
}

RC_GTEST_PROP(Merge, IsCommutativeAssociativeAndIdempotent, ()) {
    const auto keys = *rc::gen::element<std::uint32_t>(4, 60);  // within and beyond the bound on records
    const auto some = rc::gen::container<std::vector<Write>>(write(keys));
    const OriginState a = state_of(*some), b = state_of(*some), c = state_of(*some);
    const auto joined = [](OriginState x, const OriginState& y) { return x.join(y), x; };
    RC_ASSERT(joined(a, b) == joined(b, a));
    RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
    RC_ASSERT(joined(a, a) == a);
    OriginState twice = joined(a, b);
    RC_ASSERT(!twice.join(b));
    RC_ASSERT(joined(a, b).evidence().size() <= kMostRecords);
}

RC_GTEST_PROP(Merge, GivesTheSameInAnyOrderUnderRepeatsAndExpiry, ()) {
    auto writes = *rc::gen::container<std::vector<Write>>(write(*rc::gen::element<std::uint32_t>(4, 60)));
    const OriginState once = state_of(writes);
    auto again = *rc::gen::element(writes, std::vector<Write>());
    writes.insert(writes.end(), again.begin(), again.end());
    for (std::size_t i = writes.size(); i > 1; --i)
        std::swap(writes[i - 1], writes[*rc::gen::inRange<std::size_t>(0, i)]);
    RC_ASSERT(state_of(writes) == once);
    // What has expired does not come back by being repeated.
    OriginState late = once;
    late.expire(1e9);
    RC_ASSERT(late.evidence().empty());
    for (const Write& w : writes)
        if (w.what == 2) w.apply(late);
    for (const auto& [server, record] : late.evidence()) RC_ASSERT(record.count > once.floor());
    RC_ASSERT(late.top_count() == once.top_count());
}

rc::Gen<Item> item() {
    return rc::gen::apply(
        [](std::size_t kind, std::uint16_t id, std::uint32_t a, std::uint32_t b, std::uint32_t c,
           std::uint32_t d, std::uint8_t e) -> Item {
            switch (kind) {
                case 0:
                    return MemberItem{id, {a, b, static_cast<Status>(c % 3)}, d};
                case 1:
                    return EvidenceItem{id, a, b, c, {e, static_cast<std::uint8_t>(d), 3, 1}, e};
                case 2:
                    return VersionsItem{id, a, b, {c, d, a, b}};
                case 3:
                    return FingerprintItem{id, a};
                case 4:
                    return WantItem{id};
                default:
                    return RangeItem{static_cast<std::uint8_t>(e % kRanges), a};
            }
        },
        rc::gen::inRange<std::size_t>(0, 6), rc::gen::arbitrary<std::uint16_t>(),
        rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint32_t>(),
        rc::gen::arbitrary<std::uint32_t>(), rc::gen::arbitrary<std::uint32_t>(),
        rc::gen::arbitrary<std::uint8_t>());
}

RC_GTEST_PROP(Codec, RoundTripsWithin256Bytes, (std::uint32_t life, std::uint16_t token)) {
    Datagram d;
    d.kind = static_cast<Kind>(*rc::gen::inRange(1, 9));
    d.life = life, d.token = token;
    for (const Item& i : *rc::gen::container<std::vector<Item>>(item()))
        if (!d.add(i)) RC_ASSERT(d.size() + size_of(i) > kLongest);
    const Bytes bytes = encode(d);
    RC_ASSERT(bytes.size() <= kLongest);
    RC_ASSERT(bytes.size() == d.size());
    RC_ASSERT(std::get<Datagram>(decode(bytes)) == d);
    // Cut short or with any one bit turned it is none.
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(std::holds_alternative<Fault>(decode(std::span(bytes).first(cut))));
    Bytes turned = bytes;
    turned[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^=
        static_cast<std::uint8_t>(1 << *rc::gen::inRange(0, 8));
    RC_ASSERT(std::holds_alternative<Fault>(decode(turned)));
}

// ---- One replica and bad peers ----------------------------------------------------------------------------

constexpr Millis kNow = 1.7e12;
constexpr std::uint32_t kLife = 1'700'000'000;

struct One {
    Replica replica{0, 10, kLife, 7};
    std::vector<Outgoing> out;
    Millis now = kNow;
    One() { replica.start(now, out), out.clear(); }
    void hear(MemberId from, const std::vector<Item>& items, Kind kind = Kind::gossip) {
        Datagram d;
        d.kind = kind, d.life = kLife, d.items = items;
        replica.receive(now, from, encode(d), out);
    }
    void pass(Millis span) {
        for (const Millis end = now + span; now < end;) {
            now = std::min(end, std::max(now + 1, replica.due()));
            replica.advance(now, out);
            // All others answer its pings.
            for (std::size_t i = answered; i < out.size(); ++i) {
                const Datagram d = std::get<Datagram>(decode(out[i].bytes));
                if (d.kind == Kind::ping)
                    replica.receive(now, out[i].to, encode({Kind::ack, kLife, 0, d.token, out[i].to, {}}),
                                    out);
            }
            answered = out.size();
        }
    }
    std::size_t answered = 0;
    const EndpointTotals* on(EndpointKey server) const {
        for (const EndpointTotals& e : replica.evidence())
            if (e.endpoint == server) return &e;
        return nullptr;
    }
};

EvidenceItem complaint(MemberId origin, EndpointKey server, std::uint32_t count = 1) {
    return {origin, kLife, server, count, {0, 5, 0, kRemoved}, 100};
}

TEST(BadPeers, WhatCantBeReadIsCountedAndDropped) {
    One one;
    const auto before = one.replica.fingerprint();
    one.replica.receive(one.now, 1, Bytes(300, kFormat), one.out);
    one.replica.receive(one.now, 1, Bytes{kFormat}, one.out);
    one.replica.receive(one.now, 1, Bytes(40, 0), one.out);
    one.replica.receive(one.now, 1, Bytes(40, kFormat), one.out);
    Bytes odd = encode(Datagram{Kind::gossip, kLife, 0, 0, 0, {WantItem{3}}});
    odd.pop_back();
    one.replica.receive(one.now, 1, odd, one.out);
    const auto& f = one.replica.counts().faults;
    EXPECT_EQ(f[static_cast<std::size_t>(Fault::too_long)], 1u);
    EXPECT_EQ(f[static_cast<std::size_t>(Fault::too_short)], 1u);
    EXPECT_EQ(f[static_cast<std::size_t>(Fault::format)], 1u);
    EXPECT_EQ(f[static_cast<std::size_t>(Fault::checksum)], 2u);
    EXPECT_EQ(one.replica.fingerprint(), before);
    EXPECT_TRUE(one.out.empty());
}

TEST(BadPeers, NumbersBeyondTheTierAndFarLivesChangeNothing) {
    One one;
    one.hear(1, {});
    const auto before = one.replica.fingerprint();
    one.hear(
        1, {MemberItem{10, {kLife, 0, Status::alive}, 0}, complaint(9999, 5),
            MemberItem{4, {kLife + 8000, 0, Status::alive}, 0},
            EvidenceItem{5, kLife + 9000, 1, 1, {0, 9, 0, 0}, 50}, WantItem{77}, FingerprintItem{60000, 1}});
    EXPECT_EQ(one.replica.fingerprint(), before);
    EXPECT_EQ(one.replica.counts().unknown_members, 2u);
    EXPECT_EQ(one.replica.counts().far_lives, 2u);
}

// One liar may write in everybody's name; nobody is a witness but itself.
TEST(BadPeers, ALiarIsOneWitness) {
    One one;
    std::vector<Item> lies;
    for (MemberId origin = 1; origin < 10; ++origin) lies.push_back(complaint(origin, 5));
    one.hear(1, lies);
    one.pass(100);
    ASSERT_TRUE(one.on(5));
    EXPECT_EQ(one.on(5)->reporters, 9u);
    EXPECT_EQ(one.on(5)->direct_reporters, 1u);
    EXPECT_EQ(one.on(5)->failures, 5u);
    // Those named are asked, and count once they say so themselves.
    std::set<MemberId> asked;
    for (const Outgoing& o : one.out) {
        const Datagram d = std::get<Datagram>(decode(o.bytes));
        for (const Item& i : d.items)
            if (const auto* w = std::get_if<WantItem>(&i); w && w->member == o.to) asked.insert(o.to);
    }
    EXPECT_GE(asked.size(), 2u);
    for (const MemberId origin : asked) one.hear(origin, {complaint(origin, 5)});
    one.pass(100);
    EXPECT_GE(one.on(5)->direct_reporters, 3u);
}

TEST(BadPeers, WhatIsReplayedAfterItsLifeIsNoNews) {
    One one;
    one.hear(2, {complaint(2, 5)});
    one.pass(100);
    ASSERT_TRUE(one.on(5));
    one.hear(2, {complaint(2, 5)});  // again, later: its life is not longer for it
    one.pass(kEvidenceLife);
    EXPECT_FALSE(one.on(5));
    one.hear(2, {complaint(2, 5)});
    one.pass(100);
    EXPECT_FALSE(one.on(5));
    one.hear(2, {complaint(2, 5, 2)});
    one.pass(100);
    EXPECT_TRUE(one.on(5));
}

TEST(BadPeers, MemoryIsBoundedWhateverTheySend) {
    One one;
    for (std::uint32_t n = 0; n < 20000; ++n)
        one.hear(static_cast<MemberId>(1 + n % 9), {complaint(static_cast<MemberId>(n % 11), n, 1 + n / 11)});
    EXPECT_LE(one.replica.records(), 9 * kMostRecords);
}

TEST(BadPeers, WhatIsSaidInItsOwnNameIsRefuted) {
    One one;
    one.replica.publish(one.now, 8, {3, 1, 0, 0});
    one.hear(1, {MemberItem{0, {kLife, 0, Status::dead}, 0}});
    EXPECT_EQ(one.replica.member(0).standing().incarnation, 1u);
    EXPECT_EQ(one.replica.member(0).standing().status, Status::alive);
    one.pass(2000);
    one.hear(1, {complaint(0, 5, 40)});  // it never wrote that
    EXPECT_EQ(one.replica.member(0).standing().epoch, kLife + 1);
    EXPECT_EQ(one.replica.member(0).evidence().count(5), 0u);
    EXPECT_EQ(one.replica.member(0).evidence().at(8).value.successes, 3);
    // As often as a liar likes it must not.
    for (int i = 0; i < 50; ++i) one.hear(1, {MemberItem{0, {kLife + 5, 0, Status::dead}, 0}});
    EXPECT_LE(one.replica.member(0).standing().epoch, kLife + 6);
}

TEST(BadPeers, AnswersHaveABound) {
    One one;
    for (MemberId m = 1; m < 10; ++m)
        for (std::uint32_t k = 0; k < kMostRecords; ++k) one.hear(m, {complaint(m, k, k + 1)});
    one.out.clear(), one.answered = 0;
    for (int i = 0; i < 500; ++i) one.hear(3, {}, Kind::pull);
    EXPECT_LT(one.out.size(), 700u);  // an ack-sized one each is not even sent: pulls are empty of ranges
    Datagram pull;
    pull.kind = Kind::pull, pull.life = kLife;
    for (std::uint8_t r = 0; r < kRanges; ++r) pull.add(RangeItem{r, 1});
    one.out.clear(), one.answered = 0;
    for (int i = 0; i < 500; ++i) one.replica.receive(one.now, 3, encode(pull), one.out);
    EXPECT_LE(one.out.size(), 110u);
    EXPECT_GT(one.replica.counts().unanswered, 0u);
}

TEST(Replica, SaysWhatIsWrongWithItsNumbers) {
    EXPECT_THROW(Replica(3, 3, kLife, 1), std::invalid_argument);
    EXPECT_THROW(Replica(0, kMaxMembers + 1, kLife, 1), std::invalid_argument);
}

// ---- Many, on a simulated network -------------------------------------------------------------------------

bool all_know(const SimFleet& f) {
    for (std::size_t i = 0; i < f.size(); ++i)
        for (std::size_t j = 0; j < f.size(); ++j) {
            if (!f.up(i)) continue;
            const auto& s = f.at(i).member(static_cast<MemberId>(j)).standing();
            if (f.up(j) != (s.epoch > 0 && s.status != Status::dead)) return false;
        }
    return true;
}

// Faults drawn from the seed for some seconds, then none: all that run must come to hold the same, know who
// runs and who does not, and each other's last word. Returns whether they did, within `patience`.
bool schedule(std::uint64_t seed, Options options, SimFleet::Millis patience) {
    std::mt19937_64 random(seed);
    const auto below = [&](std::size_t n) { return random() % n; };
    Network network;
    network.loss = static_cast<double>(below(51)) / 100;
    network.duplicate = static_cast<double>(below(30)) / 100;
    network.most_ms = below(4) == 0 ? 2500 : 26;
    const std::size_t n = 3 + below(8);
    SimFleet f(n, seed, network, options);
    f.start_all();
    std::vector<bool> paused(n);
    for (int step = 0; step < 12; ++step) {
        f.run_for(static_cast<double>(below(1500)));
        const std::size_t i = below(n);
        switch (below(7)) {
            case 0:
                f.cut({i, below(n)}, below(2) == 0, below(2) == 0);
                break;
            case 1:
                f.heal();
                break;
            case 2:
                if (f.up(i)) f.kill(i);
                break;
            case 3:
                if (!f.up(i) && !paused[i]) {
                    f.set_clock_offset(i, below(3) == 0 ? -5000.0 : 0);  // a clock that was stepped back
                    f.start(i);
                }
                break;
            case 4:
                if (f.up(i)) f.pause(i), paused[i] = true;
                break;
            case 5:
                if (paused[i]) f.resume(i), paused[i] = false;
                break;
            default:
                if (f.up(i))
                    f.say(i, static_cast<EndpointKey>(below(4)),
                          {1, static_cast<std::uint8_t>(below(9)), 0, 0});
                if (f.up(i)) f.say(i, Versions{static_cast<std::uint32_t>(step), 1, 1, 1});
        }
    }
    for (std::size_t i = 0; i < n; ++i)
        for (EndpointKey server = 10; f.up(i) && server < 16; ++server) f.say(i, server, {2, 1, 0, 0});
    f.run_for(400);
    f.heal();
    for (std::size_t i = 0; i < n; ++i)
        if (paused[i]) f.resume(i);
    f.network() = Network{};
    return f.run_until([&] { return f.agree() && all_know(f); }, patience, 250);
}

TEST(Schedules, AllConnectedMembersConverge) {
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        if (schedule(seed, {}, 40000)) continue;
        ++late;
        ADD_FAILURE() << "seed " << seed << " did not converge";
        if (late > 5) return;
    }
}

// The same check must notice when the repair is taken out.
TEST(Schedules, WithoutRepairTheyDoNot) {
    Options broken;
    broken.repair = false;
    int late = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) late += !schedule(seed, broken, 40000);
    EXPECT_GT(late, 10);
}

std::size_t knowing(const SimFleet& f, EndpointKey server) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < f.size(); ++i)
        n += f.up(i) && std::any_of(f.at(i).evidence().begin(), f.at(i).evidence().end(), [&](const auto& e) {
                 return e.endpoint == server && e.direct_reporters >= 3;
             });
    return n;
}

TEST(Fleets, ABadServerIsKnownEverywhereAtHalfLoss) {
    for (const double loss : {0.0, 0.1, 0.5}) {
        SimFleet f(60, 3, {loss, 0.1, 1, 26});
        f.start_all();
        f.run_for(8000);
        for (std::size_t i = 0; i < 60; i += 12) f.say(i, 42, {0, 3, 0, 0});
        const bool known = f.run_until([&] { return knowing(f, 42) >= 55; }, loss > 0.3 ? 8000 : 2000);
        EXPECT_TRUE(known) << "loss " << loss << ": " << knowing(f, 42);
        f.run_for(kEvidenceLife + 3000);
        EXPECT_EQ(knowing(f, 42), 0u) << "it has a life, and nobody keeps it longer";
    }
}

TEST(Fleets, NobodyIsHeldDeadForLossAlone) {
    SimFleet f(60, 11, {0.1, 0.1, 1, 26});
    f.start_all();
    f.run_for(60000);
    EXPECT_TRUE(all_know(f));
    std::uint64_t died = 0;
    for (std::size_t i = 0; i < 60; ++i) died += f.at(i).counts().died;
    EXPECT_EQ(died, 0u);
}

TEST(Fleets, SevenInTenKilledAndBackAreCaughtUp) {
    SimFleet f(60, 5, {0.05, 0.05, 1, 26});
    f.start_all();
    f.run_for(5000);
    f.say(0, Versions{7, 1, 1, 40});
    f.run_for(2000);
    for (std::size_t i = 18; i < 60; ++i) f.kill(i);
    f.run_for(2000);
    for (std::size_t i = 18; i < 60; ++i) f.start(i);
    const auto behind = [&] {
        for (std::size_t i = 18; i < 60; ++i) {
            const auto& v = f.at(i).member(0).versions();
            if (!f.at(i).caught_up() || !v || v->value.epoch != 7) return false;
        }
        return true;
    };
    EXPECT_TRUE(f.run_until(behind, 3000));
    EXPECT_TRUE(f.run_until([&] { return f.agree() && all_know(f); }, 20000, 250));
}

TEST(Fleets, APausedOneAccusesNobodyAndCatchesUp) {
    SimFleet f(30, 9, {0.02, 0, 1, 26});
    f.start_all();
    f.run_for(5000);
    f.pause(4);
    f.run_for(15000);
    EXPECT_EQ(f.at(0).member(4).standing().status, Status::dead);
    const auto suspected = f.at(4).counts().suspected;
    f.say(1, Versions{9, 1, 1, 1});
    f.run_for(1000);
    f.resume(4);
    EXPECT_TRUE(f.run_until([&] { return f.at(4).member(1).versions() && all_know(f); }, 8000));
    EXPECT_EQ(f.at(4).counts().suspected, suspected);
    EXPECT_EQ(f.at(4).counts().stalls, 1u);
}

TEST(Fleets, APartitionHealsEitherWay) {
    for (const bool inbound : {true, false}) {
        SimFleet f(30, 21, {0.05, 0, 1, 26});
        f.start_all();
        f.run_for(5000);
        f.cut({0, 1, 2, 3, 4, 5}, inbound, true);
        f.run_for(20000);
        EXPECT_EQ(f.at(10).member(0).standing().status, Status::dead);
        f.say(0, Versions{3, 1, 1, 1});
        f.heal();
        EXPECT_TRUE(f.run_until([&] { return f.agree() && all_know(f); }, 30000, 250));
        EXPECT_TRUE(f.at(20).member(0).versions());
    }
}

TEST(Fleets, AtRestTheLoadOfAMemberIsConstant) {
    double rate[2];
    for (int i = 0; i < 2; ++i) {
        SimFleet f(i == 0 ? 20 : 150, 2, {});
        f.start_all();
        f.run_for(20000);
        const auto before = f.datagrams();
        f.run_for(20000);
        rate[i] = static_cast<double>(f.datagrams() - before) / 20 / static_cast<double>(f.size());
    }
    EXPECT_LT(rate[0], 4);
    EXPECT_LT(rate[1], rate[0] * 1.3);
}

}  // namespace
