// Regression test of the decision library: replays seeded runs of one sidecar and compares one hash per run,
// over all events, times and actions, with replay_hashes.txt. The hashes were recorded before the library was
// split into modules. A different hash means that a decision, a floating-point result or a random draw has
// changed. With REPLAY_RECORD=FILE in the environment, the test writes the hashes of this build to FILE and
// compares nothing.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "ochregrade/balancer.hpp"
#include "replay_runs.hpp"

namespace ochregrade::test {
namespace {

constexpr int kRuns = 1200;

std::vector<std::uint64_t> recorded_hashes() {
    std::ifstream file(REPLAY_HASHES);
    std::vector<std::uint64_t> hashes;
    for (std::string line; std::getline(file, line);) hashes.push_back(std::stoull(line, nullptr, 16));
    return hashes;
}

TEST(Replay, SeededRunsGiveTheRecordedActions) {
    const char* record = std::getenv("REPLAY_RECORD");
    std::ofstream out;
    if (record) out.open(record);
    const std::vector<std::uint64_t> recorded = recorded_hashes();
    if (!record) {
        ASSERT_EQ(recorded.size(), static_cast<std::size_t>(kRuns));
    }
    std::map<std::size_t, std::uint64_t> counts;
    for (int seed = 0; seed < kRuns; ++seed) {
        const ReplayedRun replayed = replay_run(static_cast<std::uint64_t>(seed));
        for (const auto& [kind, count] : replayed.action_counts) counts[kind] += count;
        if (record)
            out << std::hex << replayed.hash << '\n';
        else
            EXPECT_EQ(replayed.hash, recorded[static_cast<std::size_t>(seed)]) << "run with seed " << seed;
    }
    for (const auto& [kind, count] : counts)
        RecordProperty("actions_" + std::to_string(kind), std::to_string(count));
    // All kinds except FetchEndpoints, which the balancer currently never emits.
    EXPECT_EQ(counts.size(), std::variant_size_v<Action> - 1) << "a kind of action never occurred";
}

}  // namespace
}  // namespace ochregrade::test
