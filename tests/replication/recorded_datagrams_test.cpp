// Compatibility with the datagrams recorded in tests/recorded/datagrams:
//   - a recorded datagram of each kind and with each item is decoded to the same fields and encoded to the
//     same bytes,
//   - after the same events, the balancer sends the same short gossip datagrams as recorded,
//   - short gossip datagrams and replication datagrams differ in length,
//   - a fleet of replicas on a scripted clock sends the same datagrams as when their hash was recorded.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <deque>
#include <map>

#include "replication/replica.hpp"
#include "support/balancer_fixture.hpp"
#include "support/recorded.hpp"

namespace ochregrade::replication {
namespace {

std::string file_of(const std::string& name) { return std::string("datagrams/").append(name).append(".hex"); }

struct Case {
    const char* name;
    Datagram datagram;
};
std::ostream& operator<<(std::ostream& out, const Case& c) { return out << c.name; }

constexpr std::uint32_t kEpoch = 0x6553f100, kIncarnation = 0x01020304;

Datagram make_datagram(Kind kind, std::uint16_t token, MemberId subject, std::vector<Item> items = {}) {
    return {kind, kEpoch, kIncarnation, token, subject, std::move(items)};
}

const MemberItem kAliveMember{0x0123, {0x6553f101, 5, Status::alive}, 0x0a0b0c0d};
const MemberItem kSuspectMember{2, {0x6553f102, 6, Status::suspect}, 0};
const MemberItem kDeadMember{4095, {0x6553f103, 7, Status::dead}, 0xffffffff};
const EvidenceItem kEvidence{0x0102, 0x6553f104, 0xdeadbeef, 0x00010203, {200, 55, 64, 5}, 99};
const VersionsItem kVersions{0x0304, 0x6553f105, 0x00040506, {11, 0xcafef00d, 3, 0x12345678}};
const FingerprintItem kFingerprint{0x0506, 0x89abcdef};
const StateRequestItem kStateRequest{0x0708};
const RangeItem kRange{15, 0x76543210};

std::vector<Case> cases() {
    Datagram digest = make_datagram(Kind::digest, 0, 0);
    for (std::uint8_t i = 0; i < kDigestRanges; ++i) digest.items.emplace_back(RangeItem{i, 0x01010101u * i});
    return {
        {"ping", make_datagram(Kind::ping, 0x1234, 0)},
        {"probe", make_datagram(Kind::probe, 0x1235, 0x0a0b)},
        {"ack", make_datagram(Kind::ack, 0x1236, 0x0a0c)},
        {"gossip", make_datagram(Kind::gossip, 0, 0, {kSuspectMember, kEvidence, kVersions})},
        {"digest", digest},
        {"pull", make_datagram(Kind::pull, 0x0003, 0, {kRange, RangeItem{0, 1}})},
        {"summary", make_datagram(Kind::summary, 0x8000, 0, {kFingerprint, kStateRequest})},
        {"shout", make_datagram(Kind::broadcast, 0, 0, {kEvidence, kAliveMember})},
        {"item-member-alive", make_datagram(Kind::gossip, 0, 0, {kAliveMember})},
        {"item-member-suspect", make_datagram(Kind::gossip, 0, 0, {kSuspectMember})},
        {"item-member-dead", make_datagram(Kind::gossip, 0, 0, {kDeadMember})},
        {"item-evidence", make_datagram(Kind::gossip, 0, 0, {kEvidence})},
        {"item-versions", make_datagram(Kind::gossip, 0, 0, {kVersions})},
        {"item-fingerprint", make_datagram(Kind::gossip, 0, 0, {kFingerprint})},
        {"item-want", make_datagram(Kind::gossip, 0, 0, {kStateRequest})},
        {"item-range", make_datagram(Kind::gossip, 0, 0, {kRange})},
    };
}

class RecordedDatagrams : public testing::TestWithParam<Case> {};

TEST_P(RecordedDatagrams, AreDecodedFieldByFieldAndEncodedToTheSameBytes) {
    const Case& c = GetParam();
    const Bytes written = encode(c.datagram);
    recorded::expect_same(file_of(c.name), recorded::hex_of(written).append("\n"));
    const Bytes bytes = recorded::bytes_of_hex(recorded::read(file_of(c.name)));
    EXPECT_TRUE(is_replication_datagram(bytes));
    const auto read = decode(bytes);
    ASSERT_TRUE(std::holds_alternative<Datagram>(read)) << to_string(std::get<DecodeError>(read));
    const auto& datagram = std::get<Datagram>(read);
    EXPECT_EQ(datagram.kind, c.datagram.kind);
    EXPECT_EQ(datagram.epoch, c.datagram.epoch);
    EXPECT_EQ(datagram.incarnation, c.datagram.incarnation);
    EXPECT_EQ(datagram.token, c.datagram.token);
    EXPECT_EQ(datagram.subject, c.datagram.subject);
    EXPECT_TRUE(datagram.items == c.datagram.items);
    EXPECT_EQ(encode(datagram), bytes);
}
INSTANTIATE_TEST_SUITE_P(All, RecordedDatagrams, testing::ValuesIn(cases()), [](const auto& info) {
    std::string name = info.param.name;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

// ---- Short gossip datagrams of the balancer --------------------------------------------------------------

// The gossip datagrams, one per line, of a sidecar in a fleet of 160. The sidecar has low traffic, and all
// its requests end with `outcome`.
std::string gossip_lines(Outcome outcome) {
    Settings settings = test::make_settings({test::make_class(Idempotency::not_idempotent)});
    settings.gossip_allowed = true;
    settings.sidecar_count = 160;
    settings.sidecar_index = 7;
    test::BalancerFixture rig(settings);
    auto servers = test::make_endpoints(20);
    for (Endpoint& server : servers) server.id = 0x01020300 + server.id;
    rig.list(EndpointUpdateKind::full, servers);
    std::string lines;
    for (int i = 0; i < 12; ++i) {
        rig.advance(700);
        const RequestId id = rig.request();
        if (!rig.in_flight(id)) continue;
        rig.end(id, outcome, 100);
        for (const Action& action : rig.last)
            if (const auto* gossip = std::get_if<SendGossip>(&action)) {
                lines += gossip->to ? std::to_string(*gossip->to) : "all";
                lines += ' ';
                lines += recorded::hex_of(gossip->bytes);
                lines += '\n';
            }
    }
    return lines;
}

TEST(RecordedShortDatagrams, ReportFailuresToTheSamePeersInFourBytes) {
    const std::string lines = gossip_lines(Outcome::connection_reset);
    EXPECT_NE(lines.find(" 010203"), std::string::npos) << "the endpoint's id";
    recorded::expect_same("datagrams/failures-told.txt", lines);
}

TEST(RecordedShortDatagrams, ReportLoadToTheSamePeersInOneByte) {
    const std::string lines = gossip_lines(Outcome::success);
    EXPECT_NE(lines, "");
    recorded::expect_same("datagrams/answer-times-told.txt", lines);
}

TEST(RecordedShortDatagrams, DifferFromReplicationDatagramsByLength) {
    for (const auto& [name, size] : {std::pair{"failures-told", 4u}, {"answer-times-told", 1u}}) {
        std::istringstream lines(recorded::read(std::string("datagrams/").append(name).append(".txt")));
        std::size_t datagrams = 0;
        for (std::string peer, digits; lines >> peer >> digits; ++datagrams) {
            const Bytes bytes = recorded::bytes_of_hex(digits);
            EXPECT_EQ(bytes.size(), size) << name << " " << digits;
            EXPECT_FALSE(is_replication_datagram(bytes));
            EXPECT_TRUE(std::holds_alternative<DecodeError>(decode(bytes)));
        }
        EXPECT_GT(datagrams, 5u) << name;
    }
}

// ---- A fleet on a scripted clock -------------------------------------------------------------------------

// Replicas on a scripted clock. The datagrams arrive kDelay after they were sent, in the order of sending.
// The member `silent` runs no timers, and datagrams to and from this member are lost.
class ScriptedFleet {
public:
    explicit ScriptedFleet(std::size_t members) {
        for (std::size_t i = 0; i < members; ++i)
            replicas_.emplace_back(static_cast<MemberId>(i), members, kEpoch + static_cast<std::uint32_t>(i),
                                   /*seed=*/1000 + i);
    }
    template <class Act>
    void act(MemberId i, Act act) {
        std::vector<Outgoing> out;
        act(replicas_[i], now_, out);
        for (Outgoing& datagram : out) post(i, std::move(datagram));
    }
    void run_for(int milliseconds) {
        for (const int end = elapsed_ + milliseconds; elapsed_ < end; ++elapsed_, now_ += 1) {
            deliver();
            for (std::size_t i = 0; i < replicas_.size(); ++i)
                if (i != silent && replicas_[i].due() <= now_)
                    act(i, [](Replica& r, Millis now, auto& out) { r.advance(now, out); });
        }
    }
    std::string summary() {
        char text[128];
        std::snprintf(text, sizeof text, "datagrams %llu bytes %llu xxh64 %016llx\n",
                      static_cast<unsigned long long>(datagrams_), static_cast<unsigned long long>(bytes_),
                      static_cast<unsigned long long>(XXH64(sent_.data(), sent_.size(), 0)));
        return text;
    }
    Replica& at(MemberId i) { return replicas_[i]; }
    MemberId silent = kAllMembers;

private:
    struct InFlight {
        MemberId from, to;
        Bytes bytes;
    };
    void post(MemberId from, Outgoing datagram) {
        ++datagrams_, bytes_ += datagram.bytes.size();
        append_number(static_cast<std::uint32_t>(elapsed_)), append_number(from), append_number(datagram.to);
        append_number(static_cast<std::uint32_t>(datagram.bytes.size()));
        sent_.insert(sent_.end(), datagram.bytes.begin(), datagram.bytes.end());
        for (std::size_t to = 0; to < replicas_.size(); ++to)
            if (to != from && (datagram.to == kAllMembers || datagram.to == to))
                in_flight_.emplace(elapsed_ + kDelay,
                                   InFlight{from, static_cast<MemberId>(to), datagram.bytes});
    }
    void append_number(std::uint32_t number) {
        for (int shift = 24; shift >= 0; shift -= 8)
            sent_.push_back(static_cast<std::uint8_t>(number >> shift));
    }
    void deliver() {
        while (!in_flight_.empty() && in_flight_.begin()->first <= elapsed_) {
            const InFlight datagram = std::move(in_flight_.begin()->second);
            in_flight_.erase(in_flight_.begin());
            if (datagram.to == silent || datagram.from == silent) continue;
            act(datagram.to, [&](Replica& r, Millis now, auto& out) {
                r.receive(now, datagram.from, datagram.bytes, out);
            });
        }
    }
    static constexpr int kDelay = 7;  // milliseconds
    std::deque<Replica> replicas_;
    std::multimap<int, InFlight> in_flight_;
    int elapsed_ = 0;
    Millis now_ = kEpoch * 1000.0;
    std::uint64_t datagrams_ = 0, bytes_ = 0;
    Bytes sent_;  // of each datagram: time, sender, receiver, size, bytes
};

// The replica's state in one line. If the recorded hash of the datagrams changes, these lines show whether
// the states of the replicas have changed too.
std::string state_line(const Replica& replica) {
    char text[160];
    std::snprintf(text, sizeof text,
                  "member %u alive %zu records %zu fingerprint %08x versions %zu caught up %d\n",
                  static_cast<unsigned>(replica.self()), replica.alive(), replica.records(),
                  replica.fingerprint(), replica.versions().size(), replica.caught_up());
    return text;
}

TEST(RecordedReplication, SendsTheSameDatagramsAtTheSameTimes) {
    constexpr MemberId kMembers = 5, kSilentMember = 3;
    ScriptedFleet fleet(kMembers);
    const auto start = [](Replica& r, Millis now, auto& out) { r.start(now, out); };
    const auto publish = [](auto... what) {
        return [=](Replica& r, Millis now, auto&) { r.publish(now, what...); };
    };
    std::string text;
    const auto append_stage = [&](const char* stage) {
        text.append(stage).append(" ").append(fleet.summary());
        for (MemberId i = 0; i < kMembers; ++i) text += state_line(fleet.at(i));
    };
    for (MemberId i = 0; i < kMembers; ++i) fleet.act(i, start), fleet.run_for(20);
    fleet.run_for(1500), append_stage("started");
    fleet.act(0, publish(EndpointKey{9}, Evidence{20, 3, 70, kEjected}));
    fleet.act(1, publish(EndpointKey{9}, Evidence{30, 0, 60, 0}));
    fleet.act(2, publish(EndpointKey{0xabcdef01}, Evidence{0, 5, 0, kWithdrawn})), fleet.run_for(1500);
    append_stage("evidence");
    fleet.act(4, publish(Versions{2, 0x1234, 1, 17})), fleet.run_for(1000), append_stage("versions");
    fleet.silent = kSilentMember, fleet.run_for(9000), append_stage("silent");
    EXPECT_EQ(fleet.at(0).member(kSilentMember).member_state().status, Status::dead);
    fleet.silent = kAllMembers, fleet.run_for(5000), append_stage("heard-again");
    EXPECT_EQ(fleet.at(0).member(kSilentMember).member_state().status, Status::alive);
    fleet.act(1, [](Replica& r, Millis now, auto& out) { r.leave(now, out); });
    fleet.run_for(2000), append_stage("one-left");
    recorded::expect_same("datagrams/replication.txt", text);
}

}  // namespace
}  // namespace ochregrade::replication
