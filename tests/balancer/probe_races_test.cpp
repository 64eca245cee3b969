#include "balancer/probe_races.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

class ProbeRacesTest : public testing::Test {
protected:
    ProbeRacesTest() : fixture(probes_allowed()) {
        fixture.list(20);
        for (int i = 0; i < 3; ++i) {
            subset.record_arrival();
            fixture.context.now += 1000;
        }
        request = make_request(fixture);
    }
    static Settings probes_allowed() {
        Settings settings = make_settings();
        settings.probes_allowed = true;
        return settings;
    }
    void fail(int attempts) {
        for (int i = 0; i < attempts; ++i) statistics.record(false, false);
    }

    ModuleFixture fixture;
    AttemptStatistics statistics;
    SlowStart slow_start{fixture.context, statistics};
    EndpointSubset subset{fixture.context, fixture.table, slow_start};
    ProbeRaces races{fixture.context, subset, statistics};
    Request request;
};

TEST_F(ProbeRacesTest, RacesAreWorthwhileBetweenAHealthyAndACollapsedPool) {
    EXPECT_FALSE(races.is_worthwhile(request));
    fail(1);
    EXPECT_TRUE(races.is_worthwhile(request));
    fail(10);
    EXPECT_FALSE(races.is_worthwhile(request));
}

TEST_F(ProbeRacesTest, ARequestHasTwoRoundsAtMost) {
    fail(1);
    for (int round = 0; round < 2; ++round) {
        EXPECT_TRUE(races.is_worthwhile(request));
        races.start(request, fixture.endpoint(1), fixture.endpoint(2));
    }
    EXPECT_FALSE(races.is_worthwhile(request));
    EXPECT_EQ(fixture.actions_of<SendProbe>().size(), 4U);
    EXPECT_EQ(request.pending_probes, 4);
}

TEST_F(ProbeRacesTest, WaitersAreTakenInTheirOrder) {
    Request other = make_request(fixture, 2);
    races.start(request, fixture.endpoint(1), fixture.endpoint(2));
    races.start(other, fixture.endpoint(1), fixture.endpoint(3));
    EXPECT_EQ(races.take_waiter(1), request.id);
    EXPECT_EQ(races.take_waiters(1), std::vector<RequestId>{other.id});
    EXPECT_EQ(races.take_waiter(1), std::nullopt);
}

}  // namespace
}  // namespace ochregrade::test
