// Tests of the endpoint subsets of the sidecars of a fleet, with one balancer for each sidecar; no endpoint
// is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// The endpoints to which the sidecar `index` of a hundred sidecars sends its requests 101 to 600, with sixty
// endpoints and a request every `interarrival` ms. Requests to the endpoints in `failing` fail.
std::set<EndpointId> used_endpoints(std::uint32_t index, Millis interarrival,
                                    const std::set<EndpointId>& failing = {}) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100, s.sidecar_index = index;
    BalancerFixture fixture(s, index + 1);
    fixture.list(EndpointUpdateKind::full, make_endpoints(60));
    std::set<EndpointId> used;
    for (int i = 0; i < 600; ++i) {
        fixture.advance(interarrival);
        const RequestId id = fixture.request();
        if (i >= 100) used.insert(fixture.endpoint_of(id));
        fixture.end(id, failing.count(fixture.endpoint_of(id)) > 0 ? Outcome::server_error : Outcome::success,
                    0);
    }
    return used;
}

TEST(EndpointSubset, ItsSizeFollowsTheRequestRate) {
    EXPECT_NEAR(static_cast<double>(used_endpoints(7, 30).size()), 20, 2);
    EXPECT_NEAR(static_cast<double>(used_endpoints(7, 1000).size()), 12, 1) << "the minimum is 12 endpoints";
    EXPECT_GT(used_endpoints(7, 3).size(), 57U) << "a sidecar with much traffic uses all endpoints";
}

TEST(EndpointSubset, EveryEndpointIsInTheSameNumberOfSubsets) {
    std::map<EndpointId, int> uses;
    for (std::uint32_t n = 0; n < 100; ++n)
        for (const EndpointId s : used_endpoints(n, 30)) uses[s] += 1;
    ASSERT_EQ(uses.size(), 60U);
    for (const auto& [s, n] : uses) EXPECT_NEAR(n, 100.0 * 20 / 60, 7) << s;
}

TEST(EndpointSubset, EjectedEndpointsAreReplacedByOthers) {
    const std::set<EndpointId> before = used_endpoints(0, 30);
    const std::set<EndpointId> failing(before.begin(), std::next(before.begin(), 2));
    std::size_t good = 0;
    for (const EndpointId s : used_endpoints(0, 30, failing)) good += failing.count(s) == 0;
    EXPECT_GE(good, before.size()) << "other endpoints replace the ejected ones";
}

}  // namespace
}  // namespace ochregrade::test
