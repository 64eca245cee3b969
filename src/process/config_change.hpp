// Changes of the configuration while the process runs: their options, results and counts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// The result of a change. The texts that to_string() returns are part of the operators' JSON.
struct ConfigChange {
    enum class Result {
        applied,
        unchanged,  // the same content was already in force
        staged,     // the rollout share excludes this sidecar, so the candidate was not applied
        valid,      // a dry run found that the candidate can be applied
        rejected,   // the configuration is unchanged; `errors` contains the reasons
        conflict,   // the version in force is not the expected one, or no version to roll back to exists
        missing     // the requested version is not retained
    };
    Result result = Result::rejected;
    std::uint64_t version = 0;  // version in force after the change
    std::vector<ValidationError> errors{};
    std::string note{};
};
const char* to_string(ConfigChange::Result result);

struct ConfigChangeOptions {
    bool dry_run = false;
    std::optional<std::uint64_t> expected_version{};  // version that must be in force
    std::optional<CanaryRule> canary{};               // replaces the candidate's own rule
};

/// Counts and times (ms) of configuration changes since the start of the process.
struct ConfigCounts {
    std::uint64_t applied = 0;
    std::uint64_t rejected = 0;
    std::uint64_t unchanged = 0;
    std::uint64_t rolled_back = 0;           // by operators
    std::uint64_t canaries_rolled_back = 0;  // because the canary failed
    Millis last_commit = 0;                  // pause of the event loop for the latest commit
    Millis longest_commit = 0;
    Millis longest_change = 0;  // including parsing, validation and preparation
};

}  // namespace ochregrade::sidecar
