#include "balancer/endpoint_subset.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

Settings sidecar(std::uint32_t index, std::uint32_t count) {
    Settings settings = make_settings();
    settings.sidecar_index = index;
    settings.sidecar_count = count;
    return settings;
}

struct SubsetFixture : ModuleFixture {
    explicit SubsetFixture(const Settings& settings = make_settings()) : ModuleFixture(settings) {}
    void arrive(int count, Millis interarrival) {
        for (int i = 0; i < count; ++i) {
            subset.record_arrival();
            context.now += interarrival;
        }
    }
    std::vector<EndpointId> ids() const {
        std::vector<EndpointId> ids;
        for (const EndpointRecord* endpoint : subset.endpoints()) ids.push_back(endpoint->info.id);
        return ids;
    }

    AttemptStatistics statistics;
    SlowStart slow_start{context, statistics};
    EndpointSubset subset{context, table, slow_start};
};

TEST(EndpointSubset, ArcsStartEvenlyApart) {
    SubsetFixture first(sidecar(0, 4)), third(sidecar(2, 4));
    first.list(40);
    third.list(40);
    EXPECT_EQ(first.ids().front(), 1U);
    EXPECT_EQ(third.ids().front(), 21U);
    EXPECT_EQ(third.ids().size(), 12U);
}

TEST(EndpointSubset, TheArcWrapsAroundTheList) {
    SubsetFixture fixture(sidecar(3, 4));
    fixture.list(40);
    EXPECT_EQ(fixture.ids().front(), 31U);
    EXPECT_EQ(fixture.ids().back(), 2U);
}

TEST(EndpointSubset, MoreTrafficUsesMoreEndpoints) {
    SubsetFixture fixture;
    fixture.list(100);
    fixture.arrive(50, 20);
    EXPECT_EQ(fixture.ids().size(), 30U) << "each endpoint gets about one request in 600 ms";
}

TEST(EndpointSubset, EjectedEndpointsAreReplaced) {
    SubsetFixture fixture;
    fixture.list(40);
    fixture.endpoint(2).ejection.eject(1e9, false);
    EXPECT_EQ(fixture.ids().size(), 13U)
        << "the ejected endpoint stays in the subset for its half-open trial";
}

TEST(EndpointSubset, AShortListAndMuchTrafficFillWindowsInTime) {
    SubsetFixture fixture;
    fixture.list(10);
    fixture.arrive(3, 20);
    EXPECT_FALSE(fixture.subset.is_traffic_sparse()) << "a window fills in 4 s";
}

TEST(EndpointSubset, RareRequestsAreSparseAndLowTraffic) {
    SubsetFixture fixture;
    fixture.list(20);
    fixture.arrive(3, 100);
    EXPECT_TRUE(fixture.subset.is_traffic_sparse()) << "a window fills in 24 s";
    EXPECT_FALSE(fixture.subset.is_traffic_low()) << "each endpoint gets a request in 1.2 s";
    SubsetFixture slower;
    slower.list(20);
    slower.arrive(3, 500);
    EXPECT_TRUE(slower.subset.is_traffic_low()) << "each endpoint gets a request in 6 s";
}

}  // namespace
}  // namespace ochregrade::test
