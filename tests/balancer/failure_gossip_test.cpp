#include "balancer/failure_gossip.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

struct GossipFixture : ModuleFixture {
    explicit GossipFixture(Millis interarrival = 1000) : ModuleFixture(many_sidecars()) {
        list(20);
        for (int i = 0; i < 3; ++i) {
            subset.record_arrival();
            context.now += interarrival;
        }
    }
    static Settings many_sidecars() {
        Settings settings = make_settings();
        settings.gossip_allowed = true;
        settings.sidecar_count = 100;
        return settings;
    }

    AttemptStatistics statistics;
    SlowStart slow_start{context, statistics};
    EndpointSubset subset{context, table, slow_start};
    FailureGossip gossip{context, subset};
};

TEST(FailureGossip, AFailureIsReportedToAQuarterOfTheSidecars) {
    GossipFixture fixture;
    fixture.gossip.record_failure(fixture.endpoint(5));
    const std::vector<SendGossip> sent = fixture.actions_of<SendGossip>();
    EXPECT_GE(sent.size(), 20U);
    EXPECT_LE(sent.size(), 25U);
    for (const SendGossip& message : sent) {
        EXPECT_NE(message.to, 0U) << "a sidecar does not report to itself";
        EXPECT_EQ(message.bytes, (std::vector<std::uint8_t>{0, 0, 0, 5}));
    }
}

TEST(FailureGossip, SuspicionStartsAtTwoFailuresAndEndsWithASuccess) {
    GossipFixture fixture;
    EndpointRecord& endpoint = fixture.endpoint(5);
    fixture.gossip.receive({1, {0, 0, 0, 5}}, fixture.table);
    EXPECT_EQ(fixture.gossip.suspicion(endpoint), 0);
    fixture.gossip.receive({2, {0, 0, 0, 5}}, fixture.table);
    EXPECT_DOUBLE_EQ(fixture.gossip.suspicion(endpoint), 2);
    fixture.gossip.record_success(endpoint);
    EXPECT_EQ(fixture.gossip.suspicion(endpoint), 0);
}

TEST(FailureGossip, SuspicionDecaysAndIsBounded) {
    GossipFixture fixture;
    for (int i = 0; i < 50; ++i) fixture.gossip.receive({1, {0, 0, 0, 5}}, fixture.table);
    EXPECT_DOUBLE_EQ(fixture.gossip.suspicion(fixture.endpoint(5)), kMaxSuspicion);
    fixture.context.now += 2 * kEjectionBackoff;
    EXPECT_EQ(fixture.gossip.suspicion(fixture.endpoint(5)), 0);
}

TEST(FailureGossip, MalformedMessagesAndUnknownEndpointsHaveNoEffect) {
    GossipFixture fixture;
    for (int i = 0; i < 5; ++i) {
        fixture.gossip.receive({1, {0, 0, 5}}, fixture.table);
        fixture.gossip.receive({1, {9, 9, 9, 9}}, fixture.table);
    }
    EXPECT_EQ(fixture.gossip.suspicion(fixture.endpoint(5)), 0);
}

TEST(FailureGossip, IsNotUsedWithEnoughTraffic) {
    GossipFixture fixture(/*interarrival=*/1);
    for (int i = 0; i < 5; ++i) fixture.gossip.record_failure(fixture.endpoint(5));
    EXPECT_TRUE(fixture.actions.empty());
    EXPECT_EQ(fixture.gossip.suspicion(fixture.endpoint(5)), 0);
}

}  // namespace
}  // namespace ochregrade::test
