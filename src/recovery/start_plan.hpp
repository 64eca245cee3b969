// Decides which configuration and which endpoint list a process starts with: those of the configuration file
// or those of the state folder (docs/RECOVERY.md).
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "recovery/state_store.hpp"

namespace ochregrade::sidecar {

struct Start {
    Config config;
    std::string file_document;  // the file's document; empty if the file was rejected
    ConfigVersions::Source source = ConfigVersions::Source::start;
    std::unique_ptr<StateStore> state_store;  // null if the state folder is not used
    RecoveredState recovered;
    /// config.known_endpoints come from the state folder; discovery may have restarted its sequence since.
    bool endpoints_restored = false;
};

/// Reads the file and the state folder. Throws ConfigError if the file is rejected and no stored
/// configuration may replace it (OCHREGRADE_LAST_KNOWN_GOOD, OCHREGRADE_STATE_DIR).
Start prepare_start();

/// Decides without reading files. `file` is the file's document; without a value the file was rejected, and
/// the process starts with recovered.last_known_good.
Start decide_start(const std::optional<nlohmann::json>& file, const RecoveredState& recovered);

}  // namespace ochregrade::sidecar
