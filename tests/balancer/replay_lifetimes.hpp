// Seeded legal lifetimes of one sidecar for the replay test. In: the seed. Out: the hash of all events, times
// and actions, and how many actions there were of each kind (the index in `Action`).
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>

namespace ochregrade::test {

struct ReplayedLifetime {
    std::uint64_t hash = 0;
    std::map<std::size_t, std::uint64_t> action_counts;
};

ReplayedLifetime replay_lifetime(std::uint64_t seed);

}  // namespace ochregrade::test
