// The subsets that the sidecars of a fleet use, each with a balancer of its own; no server is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// The servers that one of a hundred sidecars asks, with sixty of them and a request every `interarrival`.
std::set<EndpointId> used_endpoints(std::uint32_t index, Millis interarrival,
                                    const std::set<EndpointId>& failing = {}) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100, s.sidecar_index = index;
    Rig rig(s, index + 1);
    rig.list(EndpointUpdateKind::full, make_servers(60));
    std::set<EndpointId> met;
    for (int i = 0; i < 600; ++i) {
        rig.pass(interarrival);
        const RequestId id = rig.request();
        if (i >= 100) met.insert(rig.where(id));
        rig.end(id, failing.count(rig.where(id)) > 0 ? Outcome::server_error : Outcome::success, 0);
    }
    return met;
}

TEST(EndpointSubset, ItsSizeFollowsTheRequestRate) {
    EXPECT_NEAR(static_cast<double>(used_endpoints(7, 30).size()), 20, 2);
    EXPECT_NEAR(static_cast<double>(used_endpoints(7, 1000).size()), 12, 1) << "never fewer";
    EXPECT_GT(used_endpoints(7, 3).size(), 57U) << "a busy one uses all";
}

TEST(EndpointSubset, EveryEndpointIsInAsManySubsets) {
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
    EXPECT_GE(good, before.size()) << "others take their place";
}

}  // namespace
}  // namespace ochregrade::test
