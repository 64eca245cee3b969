#include "balancer/admission_controller.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

class AdmissionControllerTest : public testing::Test {
protected:
    AdmissionControllerTest() { fixture.list(4); }

    /// Sends attempts until one is not admitted, then ends all of them; returns how many were sent.
    int fill(double priority_weight, bool client_retry = false) {
        int sent = 0;
        for (; sent < 2000 && admission.admits(priority_weight, 1, client_retry); ++sent)
            admission.attempt_sent();
        for (int i = 0; i < sent; ++i) admission.attempt_ended();
        return sent;
    }

    ModuleFixture fixture;
    AttemptStatistics statistics;
    SlowStart slow_start{fixture.context, statistics};
    EndpointSubset subset{fixture.context, fixture.table, slow_start};
    AdmissionController admission{fixture.context, fixture.table, subset};
};

TEST_F(AdmissionControllerTest, LowWeightsAndClientRetriesLeaveCapacityForTheHighestWeight) {
    EXPECT_EQ(fill(1), 1000);
    EXPECT_EQ(fill(0.5), 800);
    EXPECT_EQ(fill(0), 600);
    EXPECT_EQ(fill(1, /*client_retry=*/true), 600);
}

TEST_F(AdmissionControllerTest, SlowResponsesLowerTheLimitToTheMinimum) {
    for (int i = 0; i < 500; ++i) admission.record_latency_ratio(kMaxLatencyRatio);
    EXPECT_NEAR(admission.utilisation(), kMaxLatencyRatio, 0.01);
    EXPECT_EQ(fill(1), 4) << "one attempt for each endpoint is always allowed";
}

TEST_F(AdmissionControllerTest, FastResponsesRaiseTheLimitWhileItIsUsed) {
    for (int i = 0; i < 500; ++i) admission.record_latency_ratio(kMaxLatencyRatio);
    for (int i = 0; i < 3; ++i) admission.attempt_sent();
    for (int i = 0; i < 500; ++i) {
        fixture.context.now += 10;
        admission.record_latency_ratio(0.1);
    }
    for (int i = 0; i < 3; ++i) admission.attempt_ended();
    EXPECT_GT(fill(1), 4);
    EXPECT_LT(fill(1), 10) << "with three attempts in flight a higher limit is not used";
}

TEST_F(AdmissionControllerTest, APeersReportMovesUtilisationByATenth) {
    admission.record_peer_latency_ratio(1);
    EXPECT_DOUBLE_EQ(admission.utilisation(), 0.1);
}

TEST_F(AdmissionControllerTest, ManySidecarsShareTheMinimum) {
    Settings settings = make_settings();
    settings.sidecar_count = 400;
    fixture.context.settings = std::make_shared<const Settings>(settings);
    EXPECT_DOUBLE_EQ(admission.fleet_share(), 0.01);
}

}  // namespace
}  // namespace ochregrade::test
