// The subsets that the sidecars of a fleet use, each with a balancer of its own; no server is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// The servers that one of a hundred sidecars asks, with sixty of them and a request every `gap`.
std::set<EndpointId> asked(std::uint32_t number, Millis gap, const std::set<EndpointId>& bad = {}) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100, s.sidecar_index = number;
    Rig rig(s, number + 1);
    rig.list(EndpointUpdateKind::full, make_servers(60));
    std::set<EndpointId> met;
    for (int i = 0; i < 600; ++i) {
        rig.pass(gap);
        const RequestId id = rig.request();
        if (i >= 100) met.insert(rig.where(id));
        rig.end(id, bad.count(rig.where(id)) > 0 ? Outcome::server_error : Outcome::success, 0);
    }
    return met;
}

TEST(Subset, IsAsLargeAsTheOwnRateKeepsWarm) {
    EXPECT_NEAR(static_cast<double>(asked(7, 30).size()), 20, 2);
    EXPECT_NEAR(static_cast<double>(asked(7, 1000).size()), 12, 1) << "never fewer";
    EXPECT_GT(asked(7, 3).size(), 57U) << "a busy one uses all";
}

TEST(Subset, AllServersAreInAsMany) {
    std::map<EndpointId, int> uses;
    for (std::uint32_t n = 0; n < 100; ++n)
        for (const EndpointId s : asked(n, 30)) uses[s] += 1;
    ASSERT_EQ(uses.size(), 60U);
    for (const auto& [s, n] : uses) EXPECT_NEAR(n, 100.0 * 20 / 60, 7) << s;
}

TEST(Subset, WhatIsRemovedIsMadeUpFor) {
    const std::set<EndpointId> before = asked(0, 30);
    const std::set<EndpointId> bad(before.begin(), std::next(before.begin(), 2));
    std::size_t good = 0;
    for (const EndpointId s : asked(0, 30, bad)) good += bad.count(s) == 0;
    EXPECT_GE(good, before.size()) << "others take their place";
}

}  // namespace
}  // namespace ochregrade::test
