// Messages between the sidecars of a fleet, sent and received by one balancer; no server is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

Rig pool_of(EndpointId count) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    rig.list(EndpointUpdateKind::full, make_servers(count));
    return rig;
}

// A light sidecar among so many whose requests all fail; returns the messages it tells, by peer.
std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> told(bool may_tell, Outcome outcome,
                                                                      std::size_t length = 4,
                                                                      std::uint32_t siblings = 160) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.gossip_allowed = may_tell;
    s.sidecar_count = siblings;
    s.sidecar_index = 7;
    Rig rig(s);
    rig.list(EndpointUpdateKind::full, make_servers(20));
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> messages;
    for (int i = 0; i < 30; ++i) {
        rig.pass(700);
        const RequestId id = rig.request();
        if (!rig.out(id)) continue;
        rig.end(id, outcome, 10);
        for (const Action& a : rig.last)
            if (const auto* tell = std::get_if<SendGossip>(&a); tell && tell->bytes.size() == length)
                messages.emplace_back(tell->to.value(), tell->bytes);
    }
    return messages;
}

TEST(Gossip, FailuresAreToldToAFewOtherPeersAndSuccessesToNone) {
    const auto failed = told(true, Outcome::connection_reset);
    EXPECT_GT(failed.size(), 20U);
    EXPECT_LT(failed.size(), 30U * 160 / 3);
    for (const auto& [peer, bytes] : failed) {
        EXPECT_LT(peer, 160U);
        EXPECT_NE(peer, 7U) << "not itself";
        EXPECT_EQ(bytes.size(), 4U);
    }
    EXPECT_TRUE(told(true, Outcome::success).empty());
    EXPECT_TRUE(told(false, Outcome::connection_reset).empty()) << "where it is not allowed";
}

// Each sidecar sends and gets as many messages in a fleet of thousands as in one of hundreds.
TEST(Gossip, CostsASidecarNoMoreInALargerFleet) {
    constexpr std::size_t kFailureBytes = 4, kPulseBytes = 1;
    constexpr std::uint32_t kHundreds = 350, kThousands = 3500;
    const auto failures = told(true, Outcome::connection_reset, kFailureBytes, kHundreds).size();
    EXPECT_LE(told(true, Outcome::connection_reset, kFailureBytes, kThousands).size(), failures * 11 / 10);
    const auto pulses = told(true, Outcome::success, kPulseBytes, kHundreds).size();
    EXPECT_LE(told(true, Outcome::success, kPulseBytes, kThousands).size(), pulses * 11 / 10);
}

TEST(Gossip, HowLongAnswersTakeIsToldToFewerEveryTenth) {
    const auto pulses = told(true, Outcome::success, 1);
    EXPECT_GT(pulses.size(), 3U * 5);
    EXPECT_LE(pulses.size(), 3U * 10);
    for (const auto& [peer, bytes] : pulses)
        EXPECT_EQ(bytes.at(0), 2) << "10 ms of an aim of 400, in hundredths";
    EXPECT_TRUE(told(false, Outcome::success, 1).empty()) << "where it is not allowed";
}

// A request now and then, as one of many sidecars gets them: no window fills within a backoff.
constexpr Millis kThin = 100;

int sent_to(Rig& rig, EndpointId server, int requests) {
    int met = 0;
    for (int i = 0; i < requests; ++i) {
        rig.pass(kThin);
        const RequestId id = rig.request();
        met += rig.where(id) == server;
        rig.end(id, Outcome::success, 0);
    }
    return met;
}

Rig warned(EndpointId count, EndpointId server, int messages) {
    Rig rig = pool_of(count);
    sent_to(rig, 0, 5);
    for (int i = 0; i < messages; ++i)
        rig.give(GossipReceived{3, {0, 0, 0, static_cast<std::uint8_t>(server)}});
    return rig;
}

TEST(Gossip, ItBreaksTiesAgainstAServerAndIsForgotten) {
    Rig rig = warned(10, 4, 8);
    EXPECT_EQ(sent_to(rig, 4, 100), 0) << "of two, the other one wins";
    rig.pass(3600000);
    EXPECT_GT(sent_to(rig, 4, 200), 0);
}

TEST(Gossip, AFailureNowAndThenChangesNothing) {
    Rig rig = warned(10, 4, 1);
    EXPECT_GT(sent_to(rig, 4, 100), 0);
}

// A server that answers nothing has the shortest queues: by queue alone it would be picked the more.
TEST(Gossip, ADoubtedServerIsDrawnSeldom) {
    const auto held = [](int messages) {
        Rig rig = warned(10, 4, messages);
        std::map<EndpointId, int> out;
        for (int i = 0; i < 60; ++i) rig.pass(kThin), out[rig.where(rig.request(0, 60000))] += 1;
        return out[4];
    };
    EXPECT_GE(held(0), 4);
    EXPECT_LE(held(8), 2);
}

// Ten answers of one's own are mostly chance: what the others' answers show closes the room, and opens it.
TEST(Gossip, PeersAnswersShowACrowd) {
    const auto let_out = [](std::uint8_t peers_say) {
        Rig rig = warned(10, 4, 0);
        for (int i = 0; i < 40; ++i) {
            rig.pass(kThin);
            for (int m = 0; m < 10; ++m) rig.give(GossipReceived{3, {peers_say}});
            const RequestId id = rig.request(0, 60000);
            if (rig.out(id)) rig.end(id, Outcome::success, 0);
        }
        return rig.still_out(rig.burst(40, 60000));
    };
    EXPECT_EQ(let_out(20), 40);
    EXPECT_LT(let_out(120), 15);
}

// Where a window fills before a backoff ends, it knows better than hearsay.
TEST(Gossip, ABusySidecarGoesByItsOwnWindows) {
    Rig rig = warned(10, 4, 8);
    int met = 0;
    for (int i = 0; i < 300; ++i) {
        rig.pass(1);
        const RequestId id = rig.request();
        if (i >= 100) met += rig.where(id) == 4;
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_GT(met, 5);
}

TEST(Gossip, ALoudPeerEjectsNobodyAndMalformedMessagesDoNothing) {
    Rig rig = pool_of(10);
    sent_to(rig, 0, 5);
    for (int i = 0; i < 1000; ++i)
        for (std::uint8_t s = 1; s <= 10; ++s) rig.give(GossipReceived{3, {0, 0, 0, s}});
    rig.give(GossipReceived{3, {}});
    rig.give(GossipReceived{3, {4}});
    rig.give(GossipReceived{3, {0, 0, 0, 0, 4}});
    rig.give(GossipReceived{3, std::vector<std::uint8_t>(256, 255)});
    EXPECT_EQ(rig.removals(), 0);
    std::set<EndpointId> met;
    for (int i = 0; i < 300; ++i) {
        rig.pass(kThin);
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.out(id));
        met.insert(rig.where(id));
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_GE(met.size(), 9U) << "all doubted alike: all are used";
}

}  // namespace
}  // namespace ochregrade::test
