// Tests that a sidecar follows a discovery service that restarts its sequence numbers.
#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

// A single list with a lower sequence number may be a late response. Only repeated lower numbers mean that
// discovery has restarted.
TEST(DiscoveryRestart, IsFollowedAfterRepeatedLowerNumbers) {
    FakeServer first, second;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", first.at())}));
    const auto version = [&] {
        return sidecar.in_loop([&] {
            const DiscoveryClient& d = sidecar.node().discovery();
            return std::pair<std::uint64_t, std::uint64_t>(d.incarnation(), d.seq());
        });
    };
    discovery.say(9, true, {host("s1", first.at())});
    discovery.wait_for(2);
    discovery.say(2, true, {host("s2", second.at())});
    discovery.wait_for(3);
    EXPECT_EQ(version(), std::pair(std::uint64_t{1}, std::uint64_t{9}));
    for (int i = 0; i < 60; ++i) discovery.say(2, true, {host("s2", second.at())});
    EXPECT_TRUE(until([&] { return version() == std::pair(std::uint64_t{2}, std::uint64_t{2}); }));
}

}  // namespace
}  // namespace ochregrade::sidecar
