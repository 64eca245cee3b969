// What a process starts with: the file's configuration, or what the state folder says instead
// (docs/RECOVERY.md).
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "recovery/state_store.hpp"

namespace ochregrade::sidecar {

struct Start {
    Config config;
    std::string file_document;  // of the file; empty if it was rejected
    ConfigVersions::Source source = ConfigVersions::Source::start;
    std::unique_ptr<StateStore> state_store;  // null: no folder is configured
    RecoveredState recovered;
    bool endpoints_restored = false;  // known_endpoints are the stored ones: discovery may count from anew
};

/// Reads the file and the state folder. Throws ConfigError if the file is rejected and nothing may replace it
/// (OCHREGRADE_LAST_KNOWN_GOOD, OCHREGRADE_STATE_DIR).
Start prepare_start();

/// The decision alone. `file`: the file's document; none if it was rejected, which takes
/// recovered.last_known_good.
Start decide_start(const std::optional<nlohmann::json>& file, const RecoveredState& recovered);

}  // namespace ochregrade::sidecar
