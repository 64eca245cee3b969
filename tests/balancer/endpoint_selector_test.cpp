#include "balancer/endpoint_selector.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

struct SelectorFixture : ModuleFixture {
    explicit SelectorFixture(const Settings& settings = make_settings()) : ModuleFixture(settings) {}

    /// The number of times that each endpoint is selected, by endpoint, in `times` selections for new
    /// requests.
    std::map<EndpointId, int> select_many(int times) {
        std::map<EndpointId, int> counts;
        for (int i = 0; i < times; ++i) {
            const Selection selection = selector.select(make_request(*this));
            if (selection.kind == SelectionKind::endpoint) ++counts[selection.first->info.id];
        }
        return counts;
    }

    AttemptStatistics statistics;
    SlowStart slow_start{context, statistics};
    EndpointSubset subset{context, table, slow_start};
    FailureGossip gossip{context, subset};
    RetryPolicy retry_policy{context};
    AdmissionController admission{context, table, subset};
    ProbeRaces races{context, subset, statistics};
    EndpointSelector selector{{context, subset, slow_start, retry_policy, gossip, admission, races}};
};

TEST(EndpointSelector, NoneIsSelectedFromAnEmptyList) {
    SelectorFixture fixture;
    EXPECT_EQ(fixture.selector.select(make_request(fixture)).kind, SelectionKind::none);
}

TEST(EndpointSelector, OfTwoTheOneWithFewerInFlightIsSelected) {
    SelectorFixture fixture;
    fixture.list(2);
    fixture.endpoint(1).in_flight = 1;
    EXPECT_EQ(fixture.select_many(50)[2], 50);
}

TEST(EndpointSelector, ATieGoesToTheLowerLatencyRatio) {
    SelectorFixture fixture;
    fixture.list(2);
    fixture.endpoint(1).latency_ratio = 0.5;
    fixture.endpoint(2).latency_ratio = 0.4;
    EXPECT_EQ(fixture.select_many(50)[2], 50);
}

TEST(EndpointSelector, ATieGoesToTheLocalZoneWhereCrossingCosts) {
    Settings settings = make_settings();
    settings.local_zone = 1;  // the zone of endpoint 1; make_endpoints() sets zone to id % 3
    settings.fees.cross_zone = 0.1;
    SelectorFixture fixture(settings);
    fixture.list(2);
    fixture.endpoint(1).latency_ratio = 0.5;
    fixture.admission.record_peer_latency_ratio(0.5);  // raises the utilisation above 0
    EXPECT_EQ(fixture.select_many(50)[1], 50);
}

TEST(EndpointSelector, TheDrawFollowsTheCapacityWeight) {
    SelectorFixture fixture;
    std::vector<Endpoint> endpoints = make_endpoints(3);
    endpoints[0].capacity_weight = 4;
    fixture.table.apply({EndpointUpdateKind::full, endpoints});
    std::map<EndpointId, int> counts = fixture.select_many(6000);
    EXPECT_NEAR(counts[1], 4000, 200);
}

TEST(EndpointSelector, ATrialThatIsDueGoesFirst) {
    SelectorFixture fixture;
    fixture.list(4);
    fixture.endpoint(3).ejection.eject(fixture.context.now, false);
    EXPECT_EQ(fixture.select_many(10)[3], 10);
}

TEST(EndpointSelector, ATriedEndpointIsOnlyUsedWhereThereIsNoOther) {
    SelectorFixture fixture;
    fixture.list(2);
    Request request = make_request(fixture);
    request.attempts.push_back({1, 0, 0, fixture.context.now, /*in_flight=*/false, true, false});
    for (int i = 0; i < 20; ++i) EXPECT_EQ(fixture.selector.select(request).first->info.id, 2U);
    fixture.list(1);
    EXPECT_EQ(fixture.selector.select(request).first->info.id, 1U);
}

}  // namespace
}  // namespace ochregrade::test
