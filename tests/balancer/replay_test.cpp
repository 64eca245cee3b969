// Replay oracle of the decision library: seeded legal lifetimes of one sidecar, each folded into one hash of
// all its events, times and actions. The hashes in replay_hashes.txt were recorded before the library was
// split into modules: a different hash means that a decision, a floating-point result or a random draw has
// changed. REPLAY_RECORD=FILE writes the hashes of this build there instead.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "ochregrade/balancer.hpp"
#include "replay_lifetimes.hpp"

namespace ochregrade::test {
namespace {

constexpr int kLifetimes = 1200;

std::vector<std::uint64_t> recorded_hashes() {
    std::ifstream file(REPLAY_HASHES);
    std::vector<std::uint64_t> hashes;
    for (std::string line; std::getline(file, line);) hashes.push_back(std::stoull(line, nullptr, 16));
    return hashes;
}

TEST(Replay, SeededLifetimesGiveTheRecordedActions) {
    const char* record = std::getenv("REPLAY_RECORD");
    std::ofstream out;
    if (record) out.open(record);
    const std::vector<std::uint64_t> recorded = recorded_hashes();
    if (!record) {
        ASSERT_EQ(recorded.size(), static_cast<std::size_t>(kLifetimes));
    }
    std::map<std::size_t, std::uint64_t> counts;
    for (int seed = 0; seed < kLifetimes; ++seed) {
        const ReplayedLifetime lifetime = replay_lifetime(static_cast<std::uint64_t>(seed));
        for (const auto& [kind, count] : lifetime.action_counts) counts[kind] += count;
        if (record)
            out << std::hex << lifetime.hash << '\n';
        else
            EXPECT_EQ(lifetime.hash, recorded[static_cast<std::size_t>(seed)]) << "lifetime " << seed;
    }
    for (const auto& [kind, count] : counts)
        RecordProperty("actions_" + std::to_string(kind), std::to_string(count));
    // All but FetchEndpoints, which the present decisions don't use.
    EXPECT_EQ(counts.size(), std::variant_size_v<Action> - 1) << "a kind of action was never seen";
}

}  // namespace
}  // namespace ochregrade::test
