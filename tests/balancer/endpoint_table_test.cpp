#include "balancer/endpoint_table.hpp"

#include "balancer/slow_start.hpp"
#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

TEST(EndpointTable, OnlyServingEndpointsAreInService) {
    ModuleFixture fixture;
    fixture.list(3);
    fixture.table.apply({EndpointUpdateKind::incremental, {{2, 0, 0, EndpointState::draining, 0, 1}}});
    ASSERT_EQ(fixture.table.in_service().size(), 2U);
    EXPECT_EQ(fixture.table.in_service()[1]->info.id, 3U);
    EXPECT_EQ(fixture.table.in_service_weight(), 2);
    EXPECT_EQ(fixture.table.listed_count(), 3U) << "a draining endpoint is still listed";
}

TEST(EndpointTable, ARemovedEndpointStaysWhileItHasAttemptsInFlight) {
    ModuleFixture fixture;
    fixture.list(2);
    fixture.endpoint(2).in_flight = 1;
    fixture.table.apply({EndpointUpdateKind::full, make_endpoints(1)});
    EXPECT_TRUE(fixture.table.removed_and_idle().empty());
    EXPECT_FALSE(fixture.table.erase_if_removed_and_idle(2));
    fixture.endpoint(2).in_flight = 0;
    EXPECT_EQ(fixture.table.removed_and_idle(), std::vector<EndpointId>{2});
    EXPECT_TRUE(fixture.table.erase_if_removed_and_idle(2));
    EXPECT_EQ(fixture.table.find(2), nullptr);
}

TEST(EndpointTable, ARestartEndsTheEjectionAndEmptiesTheWindow) {
    ModuleFixture fixture;
    fixture.list(1, 1000);
    fixture.endpoint(1).ejection.record(false);
    fixture.endpoint(1).ejection.eject(200000, false);
    fixture.list(1, 2000);
    EXPECT_TRUE(fixture.endpoint(1).ejection.is_available());
    EXPECT_EQ(fixture.endpoint(1).ejection.outcomes(), 0);
}

TEST(EndpointTable, CapacityCountsTheSlowStartShareOfColdEndpoints) {
    ModuleFixture fixture;  // slow-start share: 0.2 at the start, 1 after 20 s
    const AttemptStatistics statistics;
    const SlowStart slow_start(fixture.context, statistics);
    fixture.list(2);
    EXPECT_DOUBLE_EQ(fixture.table.capacity(slow_start), 2);
    fixture.list(2, fixture.context.now);
    EXPECT_DOUBLE_EQ(fixture.table.capacity(slow_start), 0.4);
}

TEST(EndpointTable, AnInvalidWeightCountsAsOne) {
    ModuleFixture fixture;
    fixture.table.apply({EndpointUpdateKind::full, {{1, 0, 0, EndpointState::serving, 0, -5}}});
    EXPECT_EQ(fixture.table.in_service_weight(), 1);
}

}  // namespace
}  // namespace ochregrade::test
