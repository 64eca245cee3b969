// Tests of the gossip messages that one balancer sends and receives; no endpoint is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

BalancerFixture sidecar_with_endpoints(EndpointId count) {
    BalancerFixture fixture(make_settings({make_class(Idempotency::not_idempotent)}));
    fixture.list(EndpointUpdateKind::full, make_endpoints(count));
    return fixture;
}

// Runs a sidecar with low traffic in a fleet of `sidecar_count` sidecars. All its attempts end with
// `outcome`. Returns the messages of `length` bytes that the sidecar sends, each with the index of the
// receiving peer.
std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> gossip_sent(
    bool gossip_allowed, Outcome outcome, std::size_t length = 4, std::uint32_t sidecar_count = 160) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.gossip_allowed = gossip_allowed;
    s.sidecar_count = sidecar_count;
    s.sidecar_index = 7;
    BalancerFixture fixture(s);
    fixture.list(EndpointUpdateKind::full, make_endpoints(20));
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> messages;
    for (int i = 0; i < 30; ++i) {
        fixture.advance(700);
        const RequestId id = fixture.request();
        if (!fixture.in_flight(id)) continue;
        fixture.end(id, outcome, 10);
        for (const Action& a : fixture.last)
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
        EXPECT_NE(peer, 7U) << "a sidecar does not report to itself";
        EXPECT_EQ(bytes.size(), 4U);
    }
    EXPECT_TRUE(gossip_sent(true, Outcome::success).empty());
    EXPECT_TRUE(gossip_sent(false, Outcome::connection_reset).empty()) << "gossip is not allowed";
}

// A sidecar must not send more messages in a fleet of thousands than in a fleet of hundreds: the traffic of
// each sidecar would otherwise grow with the fleet.
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
        EXPECT_EQ(bytes.at(0), 2) << "10 ms / latency objective of 400 ms, in hundredths";
    EXPECT_TRUE(gossip_sent(false, Outcome::success, 1).empty()) << "gossip is not allowed";
}

// Time between requests of one sidecar among many (ms): no outcome window fills within an ejection backoff.
constexpr Millis kLowTrafficInterarrival = 100;

int sent_to(BalancerFixture& fixture, EndpointId server, int requests) {
    int attempts = 0;
    for (int i = 0; i < requests; ++i) {
        fixture.advance(kLowTrafficInterarrival);
        const RequestId id = fixture.request();
        attempts += fixture.endpoint_of(id) == server;
        fixture.end(id, Outcome::success, 0);
    }
    return attempts;
}

BalancerFixture sidecar_with_reports(EndpointId count, EndpointId server, int messages) {
    BalancerFixture fixture = sidecar_with_endpoints(count);
    sent_to(fixture, 0, 5);
    for (int i = 0; i < messages; ++i)
        fixture.handle_event(GossipReceived{3, {0, 0, 0, static_cast<std::uint8_t>(server)}});
    return fixture;
}

TEST(FailureGossip, SuspicionBreaksTiesAndDecays) {
    BalancerFixture fixture = sidecar_with_reports(10, 4, 8);
    EXPECT_EQ(sent_to(fixture, 4, 100), 0) << "the other endpoint of each draw gets the request";
    fixture.advance(3600000);
    EXPECT_GT(sent_to(fixture, 4, 200), 0);
}

TEST(FailureGossip, ASingleReportHasNoEffect) {
    BalancerFixture fixture = sidecar_with_reports(10, 4, 1);
    EXPECT_GT(sent_to(fixture, 4, 100), 0);
}

// The requests of this test never end, and a suspected endpoint soon has fewer attempts in flight than the
// others. If these numbers alone decided, the suspected endpoint would get requests until it has as many as
// the others.
TEST(FailureGossip, ASuspectedEndpointIsSeldomDrawn) {
    const auto in_flight = [](int messages) {
        BalancerFixture fixture = sidecar_with_reports(10, 4, messages);
        std::map<EndpointId, int> out;
        for (int i = 0; i < 60; ++i)
            fixture.advance(kLowTrafficInterarrival),
                out[fixture.endpoint_of(fixture.request(0, 60000))] += 1;
        return out[4];
    };
    EXPECT_GE(in_flight(0), 4);
    EXPECT_LE(in_flight(8), 2);
}

// A sidecar's own mean latency ratio covers only a few responses here and is noisy. The reports of peers must
// therefore move its concurrency limit too, both down and up.
TEST(LoadReports, PeersReportsMoveTheConcurrencyLimit) {
    const auto admitted = [](std::uint8_t reported_ratio) {
        BalancerFixture fixture = sidecar_with_reports(10, 4, 0);
        for (int i = 0; i < 40; ++i) {
            fixture.advance(kLowTrafficInterarrival);
            for (int m = 0; m < 10; ++m) fixture.handle_event(GossipReceived{3, {reported_ratio}});
            const RequestId id = fixture.request(0, 60000);
            if (fixture.in_flight(id)) fixture.end(id, Outcome::success, 0);
        }
        return fixture.count_in_flight(fixture.burst(40, 60000));
    };
    EXPECT_EQ(admitted(20), 40);
    EXPECT_LT(admitted(120), 15);
}

// If the sidecar's outcome window for an endpoint fills in less time than an ejection's backoff, the
// sidecar's own outcomes are better evidence than gossip.
TEST(FailureGossip, ASidecarWithMuchTrafficUsesItsOwnWindows) {
    BalancerFixture fixture = sidecar_with_reports(10, 4, 8);
    int attempts = 0;
    for (int i = 0; i < 300; ++i) {
        fixture.advance(1);
        const RequestId id = fixture.request();
        if (i >= 100) attempts += fixture.endpoint_of(id) == 4;
        fixture.end(id, Outcome::success, 0);
    }
    EXPECT_GT(attempts, 5);
}

TEST(FailureGossip, APeerEjectsNothingAndMalformedMessagesHaveNoEffect) {
    BalancerFixture fixture = sidecar_with_endpoints(10);
    sent_to(fixture, 0, 5);
    for (int i = 0; i < 1000; ++i)
        for (std::uint8_t s = 1; s <= 10; ++s) fixture.handle_event(GossipReceived{3, {0, 0, 0, s}});
    fixture.handle_event(GossipReceived{3, {}});
    fixture.handle_event(GossipReceived{3, {4}});
    fixture.handle_event(GossipReceived{3, {0, 0, 0, 0, 4}});
    fixture.handle_event(GossipReceived{3, std::vector<std::uint8_t>(256, 255)});
    EXPECT_EQ(fixture.ejection_count(), 0);
    std::set<EndpointId> used;
    for (int i = 0; i < 300; ++i) {
        fixture.advance(kLowTrafficInterarrival);
        const RequestId id = fixture.request();
        ASSERT_TRUE(fixture.in_flight(id));
        used.insert(fixture.endpoint_of(id));
        fixture.end(id, Outcome::success, 0);
    }
    EXPECT_GE(used.size(), 9U) << "equal suspicion of all endpoints excludes none";
}

}  // namespace
}  // namespace ochregrade::test
