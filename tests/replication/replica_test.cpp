// One replica (member 0 of 10) that receives damaged, forged or too many datagrams from other members.
#include "replication/replica.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace {

using namespace ochregrade::replication;

constexpr Millis kNow = 1.7e12;
constexpr std::uint32_t kEpoch = 1'700'000'000;

struct SingleReplica {
    Replica replica{0, 10, kEpoch, 7};
    std::vector<Outgoing> out;
    Millis now = kNow;
    SingleReplica() { replica.start(now, out), out.clear(); }
    void receive(MemberId from, const std::vector<Item>& items, Kind kind = Kind::gossip) {
        Datagram d;
        d.kind = kind, d.epoch = kEpoch, d.items = items;
        replica.receive(now, from, encode(d), out);
    }
    void run_for(Millis duration) {
        for (const Millis end = now + duration; now < end;) {
            now = std::min(end, std::max(now + 1, replica.due()));
            replica.advance(now, out);
            // The receiver of each ping of the replica replies with an ack.
            for (std::size_t i = answered; i < out.size(); ++i) {
                const Datagram d = std::get<Datagram>(decode(out[i].bytes));
                if (d.kind == Kind::ping)
                    replica.receive(now, out[i].to, encode({Kind::ack, kEpoch, 0, d.token, out[i].to, {}}),
                                    out);
            }
            answered = out.size();
        }
    }
    std::size_t answered = 0;
    const EndpointTotals* totals_of(EndpointKey endpoint) const {
        for (const EndpointTotals& e : replica.evidence())
            if (e.endpoint == endpoint) return &e;
        return nullptr;
    }
};

EvidenceItem failure_report(MemberId origin, EndpointKey endpoint, std::uint32_t sequence = 1) {
    return {origin, kEpoch, endpoint, sequence, {0, 5, 0, kEjected}, 100};
}

TEST(UntrustedPeers, UndecodableDatagramsAreCountedAndDropped) {
    SingleReplica single;
    const auto before = single.replica.fingerprint();
    single.replica.receive(single.now, 1, Bytes(300, kFormatByte), single.out);
    single.replica.receive(single.now, 1, Bytes{kFormatByte}, single.out);
    single.replica.receive(single.now, 1, Bytes(40, 0), single.out);
    single.replica.receive(single.now, 1, Bytes(40, kFormatByte), single.out);
    Bytes odd = encode(Datagram{Kind::gossip, kEpoch, 0, 0, 0, {StateRequestItem{3}}});
    odd.pop_back();
    single.replica.receive(single.now, 1, odd, single.out);
    const auto& f = single.replica.counts().decode_errors;
    EXPECT_EQ(f[static_cast<std::size_t>(DecodeError::too_long)], 1u);
    EXPECT_EQ(f[static_cast<std::size_t>(DecodeError::too_short)], 1u);
    EXPECT_EQ(f[static_cast<std::size_t>(DecodeError::format)], 1u);
    EXPECT_EQ(f[static_cast<std::size_t>(DecodeError::checksum)], 2u);
    EXPECT_EQ(single.replica.fingerprint(), before);
    EXPECT_TRUE(single.out.empty());
}

TEST(UntrustedPeers, UnknownMembersAndImplausibleEpochsChangeNothing) {
    SingleReplica single;
    single.receive(1, {});
    const auto before = single.replica.fingerprint();
    single.receive(1, {MemberItem{10, {kEpoch, 0, Status::alive}, 0}, failure_report(9999, 5),
                       MemberItem{4, {kEpoch + 8000, 0, Status::alive}, 0},
                       EvidenceItem{5, kEpoch + 9000, 1, 1, {0, 9, 0, 0}, 50}, StateRequestItem{77},
                       FingerprintItem{60000, 1}});
    EXPECT_EQ(single.replica.fingerprint(), before);
    EXPECT_EQ(single.replica.counts().unknown_members, 2u);
    EXPECT_EQ(single.replica.counts().implausible_epochs, 2u);
}

// A forger may send records of all origins, but only records whose origin is the forger count as direct.
TEST(UntrustedPeers, AForgerCountsAsOneDirectReporter) {
    SingleReplica single;
    std::vector<Item> forged;
    for (MemberId origin = 1; origin < 10; ++origin) forged.emplace_back(failure_report(origin, 5));
    single.receive(1, forged);
    single.run_for(100);
    ASSERT_TRUE(single.totals_of(5));
    EXPECT_EQ(single.totals_of(5)->reporters, 9u);
    EXPECT_EQ(single.totals_of(5)->direct_reporters, 1u);
    EXPECT_EQ(single.totals_of(5)->failures, 5u);
    // The replica requests the records from some of the origins. A record that its origin sends counts as
    // direct.
    std::set<MemberId> requested;
    for (const Outgoing& o : single.out) {
        const Datagram d = std::get<Datagram>(decode(o.bytes));
        for (const Item& i : d.items)
            if (const auto* w = std::get_if<StateRequestItem>(&i); w && w->member == o.to)
                requested.insert(o.to);
    }
    EXPECT_GE(requested.size(), 2u);
    for (const MemberId origin : requested) single.receive(origin, {failure_report(origin, 5)});
    single.run_for(100);
    EXPECT_GE(single.totals_of(5)->direct_reporters, 3u);
}

TEST(UntrustedPeers, ReplayedEvidenceStaysExpired) {
    SingleReplica single;
    single.receive(2, {failure_report(2, 5)});
    single.run_for(100);
    ASSERT_TRUE(single.totals_of(5));
    single.receive(2, {failure_report(2, 5)});  // a replay does not extend the lifetime
    single.run_for(kEvidenceLifetime);
    EXPECT_FALSE(single.totals_of(5));
    single.receive(2, {failure_report(2, 5)});
    single.run_for(100);
    EXPECT_FALSE(single.totals_of(5));
    single.receive(2, {failure_report(2, 5, 2)});
    single.run_for(100);
    EXPECT_TRUE(single.totals_of(5));
}

TEST(UntrustedPeers, MemoryIsBoundedForAnyInput) {
    SingleReplica single;
    for (std::uint32_t n = 0; n < 20000; ++n)
        single.receive(static_cast<MemberId>(1 + n % 9),
                       {failure_report(static_cast<MemberId>(n % 11), n, 1 + n / 11)});
    EXPECT_LE(single.replica.records(), 9 * kMaxRecordsPerOrigin);
}

TEST(UntrustedPeers, FalseStatesAndRecordsAreRefuted) {
    SingleReplica single;
    single.replica.publish(single.now, 8, {3, 1, 0, 0});
    single.receive(1, {MemberItem{0, {kEpoch, 0, Status::dead}, 0}});
    EXPECT_EQ(single.replica.member(0).member_state().incarnation, 1u);
    EXPECT_EQ(single.replica.member(0).member_state().status, Status::alive);
    single.run_for(2000);
    single.receive(1, {failure_report(0, 5, 40)});  // a sequence that member 0 never wrote
    EXPECT_EQ(single.replica.member(0).member_state().epoch, kEpoch + 1);
    EXPECT_EQ(single.replica.member(0).evidence().count(5), 0u);
    EXPECT_EQ(single.replica.member(0).evidence().at(8).value.successes, 3);
    // 50 datagrams with the same forged epoch raise this member's epoch at most to one above the forged
    // epoch. The check does not show the rate limit on new epochs: without the limit, only the first of the
    // 50 would cause a new epoch, and that epoch is within the bound.
    for (int i = 0; i < 50; ++i) single.receive(1, {MemberItem{0, {kEpoch + 5, 0, Status::dead}, 0}});
    EXPECT_LE(single.replica.member(0).member_state().epoch, kEpoch + 6);
}

TEST(UntrustedPeers, RepliesAreRateLimited) {
    SingleReplica single;
    for (MemberId m = 1; m < 10; ++m)
        for (std::uint32_t k = 0; k < kMaxRecordsPerOrigin; ++k)
            single.receive(m, {failure_report(m, k, k + 1)});
    single.out.clear(), single.answered = 0;
    for (int i = 0; i < 500; ++i) single.receive(3, {}, Kind::pull);
    EXPECT_LT(single.out.size(), 700u);  // no range differs, so a reply is one datagram without items
    Datagram pull;
    pull.kind = Kind::pull, pull.epoch = kEpoch;
    for (std::uint8_t r = 0; r < kDigestRanges; ++r) pull.add(RangeItem{r, 1});
    single.out.clear(), single.answered = 0;
    for (int i = 0; i < 500; ++i) single.replica.receive(single.now, 3, encode(pull), single.out);
    EXPECT_LE(single.out.size(), 110u);
    EXPECT_GT(single.replica.counts().unanswered, 0u);
}

TEST(Replica, RejectsInvalidMemberIds) {
    EXPECT_THROW(Replica(3, 3, kEpoch, 1), std::invalid_argument);
    EXPECT_THROW(Replica(0, kMaxMembers + 1, kEpoch, 1), std::invalid_argument);
}

}  // namespace
