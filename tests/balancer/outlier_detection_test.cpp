#include "balancer/outlier_detection.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

class OutlierDetectionTest : public testing::Test {
protected:
    OutlierDetectionTest() { fixture.list(4); }

    EjectionChange record(EndpointId id, Outcome outcome, bool trial = false) {
        return outliers.record_outcome(fixture.endpoint(id), trial, outcome, /*late=*/false);
    }
    EjectionChange fail(EndpointId id, int times) {
        EjectionChange change = EjectionChange::none;
        for (int i = 0; i < times; ++i) change = record(id, Outcome::server_error);
        return change;
    }

    ModuleFixture fixture;
    OutlierDetection outliers{fixture.context, fixture.table};
};

TEST_F(OutlierDetectionTest, TheThirdFailureOfAWindowEjects) {
    EXPECT_EQ(fail(1, 2), EjectionChange::none);
    EXPECT_EQ(fail(1, 1), EjectionChange::ejected);
    EXPECT_TRUE(fixture.endpoint(1).ejection.is_ejected());
    EXPECT_EQ(fixture.endpoint(1).ejection.backoff_until(), fixture.context.now + kEjectionBackoff);
}

TEST_F(OutlierDetectionTest, OldFailuresLeaveTheWindow) {
    fail(1, 2);
    for (int i = 0; i < kOutcomeWindow; ++i) record(1, Outcome::success);
    EXPECT_EQ(fail(1, 2), EjectionChange::none);
}

TEST_F(OutlierDetectionTest, ThePanicThresholdKeepsHalfOfTheList) {
    EXPECT_EQ(fail(1, 3), EjectionChange::ejected);
    EXPECT_EQ(fail(2, 3), EjectionChange::ejected);
    EXPECT_EQ(fail(3, 20), EjectionChange::none);
}

TEST_F(OutlierDetectionTest, SlowResponsesMayEjectAQuarterOfTheList) {
    EXPECT_TRUE(outliers.may_eject(/*for_slowness=*/true));
    fail(1, 3);
    EXPECT_FALSE(outliers.may_eject(/*for_slowness=*/true));
    EXPECT_TRUE(outliers.may_eject(/*for_slowness=*/false));
}

TEST_F(OutlierDetectionTest, TheThresholdFollowsTheOthersSuccessShare) {
    EXPECT_DOUBLE_EQ(outliers.outlier_threshold(fixture.endpoint(1)), kSuccessThreshold);
    for (int i = 0; i < kOutcomeWindow / 2; ++i) {
        fixture.endpoint(2).ejection.record(false);
        fixture.endpoint(2).ejection.record(true);
    }
    EXPECT_LT(outliers.outlier_threshold(fixture.endpoint(1)), 0.5 * kSuccessThreshold);
}

TEST_F(OutlierDetectionTest, ASuccessfulTrialRestoresWithAnEmptyWindow) {
    fail(1, 3);
    fixture.context.now += kEjectionBackoff;
    EXPECT_TRUE(fixture.endpoint(1).ejection.is_trial_due(fixture.context.now));
    EXPECT_TRUE(outliers.start_trial(fixture.endpoint(1)));
    EXPECT_EQ(record(1, Outcome::success, /*trial=*/true), EjectionChange::restored);
    EXPECT_EQ(fixture.endpoint(1).ejection.outcomes(), 0);
}

TEST_F(OutlierDetectionTest, AFailedTrialEjectsAndAnUndecidedOneIsRepeated) {
    fail(1, 3);
    fixture.context.now += kEjectionBackoff;
    outliers.start_trial(fixture.endpoint(1));
    EXPECT_EQ(record(1, Outcome::cancelled, /*trial=*/true), EjectionChange::none);
    EXPECT_TRUE(fixture.endpoint(1).ejection.is_trial_due(fixture.context.now));
    outliers.start_trial(fixture.endpoint(1));
    EXPECT_EQ(record(1, Outcome::timeout, /*trial=*/true), EjectionChange::ejected);
    EXPECT_FALSE(fixture.endpoint(1).ejection.is_trial_due(fixture.context.now));
}

TEST_F(OutlierDetectionTest, ARestoredEjectionLastsABackoffAtMost) {
    EXPECT_TRUE(outliers.restore(fixture.endpoint(1), {1, /*ejected_for=*/1e9, 0}));
    EXPECT_EQ(fixture.endpoint(1).ejection.backoff_until(), fixture.context.now + kEjectionBackoff);
    const std::vector<EndpointSnapshot> snapshots = outliers.snapshot();
    ASSERT_EQ(snapshots.size(), 1U);
    EXPECT_EQ(snapshots[0].ejected_for, kEjectionBackoff);
}

}  // namespace
}  // namespace ochregrade::test
