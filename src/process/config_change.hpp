// A change of the configuration while the process runs: what is asked for and how it ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// How a change ended. The texts of to_string are part of the operators' JSON.
struct ConfigChange {
    enum class Result {
        applied,
        unchanged,  // the content is in force already
        staged,     // meant for a part of the fleet that this sidecar does not belong to
        valid,      // a dry run: it could be applied
        rejected,   // nothing has changed; errors say why
        conflict,   // another version is in force than expected, or there is none to roll back to
        missing     // no such version is retained
    };
    Result result = Result::rejected;
    std::uint64_t version = 0;  // in force now
    std::vector<ValidationError> errors{};
    std::string note{};
};
const char* to_string(ConfigChange::Result result);

struct ConfigChangeOptions {
    bool dry_run = false;
    std::optional<std::uint64_t> expected_version{};  // that must be in force
    std::optional<CanaryRule> canary{};               // instead of the candidate's own
};

/// Since the start of the process.
struct ConfigCounts {
    std::uint64_t applied = 0;
    std::uint64_t rejected = 0;
    std::uint64_t unchanged = 0;
    std::uint64_t rolled_back = 0;           // by operators
    std::uint64_t canaries_rolled_back = 0;  // by themselves
    Millis last_commit = 0;                  // how long the event loop paused for it
    Millis longest_commit = 0;
    Millis longest_change = 0;  // with reading, checking and preparing
};

}  // namespace ochregrade::sidecar
