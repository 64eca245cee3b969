// Simulated runs of one sidecar for the replay test, with random but legal events. Input: the seed. Output:
// the hash of all events, times and actions, and the number of actions of each kind (by index in `Action`).
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>

namespace ochregrade::test {

struct ReplayedRun {
    std::uint64_t hash = 0;
    std::map<std::size_t, std::uint64_t> action_counts;
};

ReplayedRun replay_run(std::uint64_t seed);

}  // namespace ochregrade::test
