#include "balancer/load_reports.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

class LoadReportsTest : public testing::Test {
protected:
    LoadReportsTest() : fixture(many_sidecars()) {
        fixture.list(20);
        for (int i = 0; i < 3; ++i) {
            subset.record_arrival();
            fixture.context.now += 1000;
        }
    }
    static Settings many_sidecars() {
        Settings settings = make_settings();
        settings.gossip_allowed = true;
        settings.sidecar_count = 160;
        return settings;
    }

    ModuleFixture fixture;
    AttemptStatistics statistics;
    SlowStart slow_start{fixture.context, statistics};
    EndpointSubset subset{fixture.context, fixture.table, slow_start};
    LoadReports reports{fixture.context, subset};
};

TEST_F(LoadReportsTest, TheMeanOfTenResponsesIsSentInHundredths) {
    for (int i = 0; i < 9; ++i) reports.record_latency_ratio(0.255);
    EXPECT_TRUE(fixture.actions.empty());
    reports.record_latency_ratio(0.255);
    const std::vector<SendGossip> sent = fixture.actions_of<SendGossip>();
    ASSERT_FALSE(sent.empty());
    EXPECT_LE(sent.size(), 10U) << "one sidecar in sixteen gets a report";
    EXPECT_EQ(sent[0].bytes, std::vector<std::uint8_t>{25});
}

TEST_F(LoadReportsTest, APeersRatioIsReadAndBounded) {
    EXPECT_DOUBLE_EQ(reports.receive({1, {40}}).value(), 0.4);
    EXPECT_DOUBLE_EQ(reports.receive({1, {255}}).value(), kMaxLatencyRatio);
    EXPECT_FALSE(reports.receive({1, {0, 0, 0, 5}}));
    EXPECT_FALSE(reports.receive({1, {}}));
}

}  // namespace
}  // namespace ochregrade::test
