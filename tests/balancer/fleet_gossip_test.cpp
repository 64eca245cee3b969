// Messages between the sidecars of a fleet, sent and received by one balancer; no server is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

Rig sidecar_with_endpoints(EndpointId count) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    rig.list(EndpointUpdateKind::full, make_servers(count));
    return rig;
}

// A sidecar with low traffic among so many whose requests all fail; returns the messages it sends, by peer.
std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> gossip_sent(
    bool gossip_allowed, Outcome outcome, std::size_t length = 4, std::uint32_t sidecar_count = 160) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.gossip_allowed = gossip_allowed;
    s.sidecar_count = sidecar_count;
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
            if (const auto* message = std::get_if<SendGossip>(&a); message && message->bytes.size() == length)
                messages.emplace_back(message->to.value(), message->bytes);
    }
    return messages;
}

TEST(FailureGossip, FailuresAreReportedToAFewPeersAndSuccessesToNone) {
    const auto failed = gossip_sent(true, Outcome::connection_reset);
    EXPECT_GT(failed.size(), 20U);
    EXPECT_LT(failed.size(), 30U * 160 / 3);
    for (const auto& [peer, bytes] : failed) {
        EXPECT_LT(peer, 160U);
        EXPECT_NE(peer, 7U) << "not itself";
        EXPECT_EQ(bytes.size(), 4U);
    }
    EXPECT_TRUE(gossip_sent(true, Outcome::success).empty());
    EXPECT_TRUE(gossip_sent(false, Outcome::connection_reset).empty()) << "where it is not allowed";
}

// Each sidecar sends and gets as many messages in a fleet of thousands as in one of hundreds.
TEST(GossipVolume, MessagesPerSidecarDoNotGrowWithTheFleet) {
    constexpr std::size_t kFailureBytes = 4, kLoadReportBytes = 1;
    constexpr std::uint32_t kHundreds = 350, kThousands = 3500;
    const auto failures = gossip_sent(true, Outcome::connection_reset, kFailureBytes, kHundreds).size();
    EXPECT_LE(gossip_sent(true, Outcome::connection_reset, kFailureBytes, kThousands).size(),
              failures * 11 / 10);
    const auto load_reports = gossip_sent(true, Outcome::success, kLoadReportBytes, kHundreds).size();
    EXPECT_LE(gossip_sent(true, Outcome::success, kLoadReportBytes, kThousands).size(),
              load_reports * 11 / 10);
}

TEST(LoadReports, EveryTenthResponseIsReportedToFewerPeers) {
    const auto load_reports = gossip_sent(true, Outcome::success, 1);
    EXPECT_GT(load_reports.size(), 3U * 5);
    EXPECT_LE(load_reports.size(), 3U * 10);
    for (const auto& [peer, bytes] : load_reports)
        EXPECT_EQ(bytes.at(0), 2) << "10 ms of an objective of 400, in hundredths";
    EXPECT_TRUE(gossip_sent(false, Outcome::success, 1).empty()) << "where it is not allowed";
}

// A request now and then, as one of many sidecars gets them: no window fills within a backoff.
constexpr Millis kLowTrafficInterarrival = 100;

int sent_to(Rig& rig, EndpointId server, int requests) {
    int met = 0;
    for (int i = 0; i < requests; ++i) {
        rig.pass(kLowTrafficInterarrival);
        const RequestId id = rig.request();
        met += rig.where(id) == server;
        rig.end(id, Outcome::success, 0);
    }
    return met;
}

Rig sidecar_with_reports(EndpointId count, EndpointId server, int messages) {
    Rig rig = sidecar_with_endpoints(count);
    sent_to(rig, 0, 5);
    for (int i = 0; i < messages; ++i)
        rig.give(GossipReceived{3, {0, 0, 0, static_cast<std::uint8_t>(server)}});
    return rig;
}

TEST(FailureGossip, SuspicionBreaksTiesAndDecays) {
    Rig rig = sidecar_with_reports(10, 4, 8);
    EXPECT_EQ(sent_to(rig, 4, 100), 0) << "of two, the other one wins";
    rig.pass(3600000);
    EXPECT_GT(sent_to(rig, 4, 200), 0);
}

TEST(FailureGossip, ASingleReportHasNoEffect) {
    Rig rig = sidecar_with_reports(10, 4, 1);
    EXPECT_GT(sent_to(rig, 4, 100), 0);
}

// A server that answers nothing has the shortest queues: by queue alone it would be picked the more.
TEST(FailureGossip, ASuspectedEndpointIsSeldomDrawn) {
    const auto in_flight = [](int messages) {
        Rig rig = sidecar_with_reports(10, 4, messages);
        std::map<EndpointId, int> out;
        for (int i = 0; i < 60; ++i)
            rig.pass(kLowTrafficInterarrival), out[rig.where(rig.request(0, 60000))] += 1;
        return out[4];
    };
    EXPECT_GE(in_flight(0), 4);
    EXPECT_LE(in_flight(8), 2);
}

// Ten answers of one's own are mostly chance: what the others' answers show lowers the limit, and raises it.
TEST(LoadReports, PeersReportsMoveTheConcurrencyLimit) {
    const auto admitted = [](std::uint8_t reported_ratio) {
        Rig rig = sidecar_with_reports(10, 4, 0);
        for (int i = 0; i < 40; ++i) {
            rig.pass(kLowTrafficInterarrival);
            for (int m = 0; m < 10; ++m) rig.give(GossipReceived{3, {reported_ratio}});
            const RequestId id = rig.request(0, 60000);
            if (rig.out(id)) rig.end(id, Outcome::success, 0);
        }
        return rig.still_out(rig.burst(40, 60000));
    };
    EXPECT_EQ(admitted(20), 40);
    EXPECT_LT(admitted(120), 15);
}

// Where a window fills before a backoff ends, it knows better than gossip.
TEST(FailureGossip, ASidecarWithMuchTrafficUsesItsOwnWindows) {
    Rig rig = sidecar_with_reports(10, 4, 8);
    int met = 0;
    for (int i = 0; i < 300; ++i) {
        rig.pass(1);
        const RequestId id = rig.request();
        if (i >= 100) met += rig.where(id) == 4;
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_GT(met, 5);
}

TEST(FailureGossip, APeerEjectsNothingAndMalformedMessagesHaveNoEffect) {
    Rig rig = sidecar_with_endpoints(10);
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
        rig.pass(kLowTrafficInterarrival);
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.out(id));
        met.insert(rig.where(id));
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_GE(met.size(), 9U) << "all doubted alike: all are used";
}

}  // namespace
}  // namespace ochregrade::test
