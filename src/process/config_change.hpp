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
        staged,     // not applied, because the candidate's rollout share excludes this sidecar
        valid,      // a dry run found no error; it does not open the candidate's peer socket
        rejected,   // the configuration is unchanged; `errors` contains the reasons
        conflict,   // the version in force is not the expected one, or no version to roll back to exists
        missing     // the requested version is not retained
    };
    Result result = Result::rejected;
    std::uint64_t version = 0;  // version in force afterwards, whatever the result
    std::vector<ValidationError> errors{};
    std::string note{};
};
const char* to_string(ConfigChange::Result result);

struct ConfigChangeOptions {
    bool dry_run = false;
    std::optional<std::uint64_t> expected_version{};  // version that must be in force
    std::optional<CanaryRule> canary{};               // replaces the rule in the candidate
};

/// Counts and times (ms) of configuration changes since the start of the process.
struct ConfigCounts {
    std::uint64_t applied = 0;   // without rollbacks
    std::uint64_t rejected = 0;  // without dry runs
    std::uint64_t unchanged = 0;
    std::uint64_t rolled_back = 0;           // by operators
    std::uint64_t canaries_rolled_back = 0;  // because the canary failed
    Millis last_commit = 0;                  // pause of the event loop for the latest commit
    Millis longest_commit = 0;
    Millis longest_change = 0;  // from the candidate's validation to the end of its commit; without rollbacks
};

}  // namespace ochregrade::sidecar
