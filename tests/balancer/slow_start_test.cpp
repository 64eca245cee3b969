#include "balancer/slow_start.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

class SlowStartTest : public testing::Test {
protected:
    SlowStartTest() { fixture.list(1, fixture.context.now); }

    ModuleFixture fixture;  // slow-start share: 0.2 at the start, 1 after 20 s
    AttemptStatistics statistics;
    SlowStart slow_start{fixture.context, statistics};
};

TEST_F(SlowStartTest, TheShareRisesLinearlyToFullCapacity) {
    const EndpointRecord& endpoint = fixture.endpoint(1);
    EXPECT_DOUBLE_EQ(slow_start.slow_start_share(endpoint), 0.2);
    fixture.context.now += 10000;
    EXPECT_DOUBLE_EQ(slow_start.slow_start_share(endpoint), 0.6);
    fixture.context.now += 10000;
    EXPECT_FALSE(slow_start.is_cold(endpoint));
    EXPECT_DOUBLE_EQ(slow_start.slow_start_share(endpoint), 1);
}

TEST_F(SlowStartTest, AnUnknownStartTimeCountsAsLongAgo) {
    fixture.list(1, 0);
    EXPECT_FALSE(slow_start.is_cold(fixture.endpoint(1)));
}

TEST_F(SlowStartTest, ResponsesInTimeAllowHalfOfTheOverloadFactor) {
    ModuleFixture robust([] {
        Settings settings = make_settings();
        settings.slow_start_overload_factor = 3;
        return settings;
    }());
    robust.list(1, robust.context.now);
    const SlowStart generous(robust.context, statistics);
    robust.endpoint(1).latency_ratio = kTargetLatencyRatio;
    EXPECT_DOUBLE_EQ(generous.admission_probability(robust.endpoint(1)), 0.3);
    robust.endpoint(1).latency_ratio = kTargetLatencyRatio + 0.1;
    EXPECT_DOUBLE_EQ(generous.admission_probability(robust.endpoint(1)), 0.2);
}

TEST_F(SlowStartTest, FailedAttemptsLowerTheAdmissionProbability) {
    statistics.record(/*completed=*/false, /*on_time=*/false);
    EXPECT_DOUBLE_EQ(slow_start.admission_probability(fixture.endpoint(1)), 0.2 * 0.9);
}

TEST_F(SlowStartTest, RequestsAreAdmittedWithTheAdmissionProbability) {
    int admitted = 0;
    for (int i = 0; i < 10000; ++i) admitted += slow_start.admits(fixture.endpoint(1));
    EXPECT_NEAR(admitted, 2000, 150);
}

}  // namespace
}  // namespace ochregrade::test
