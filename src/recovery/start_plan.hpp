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
    /// Whether config.known_endpoints came from the state folder. The stored sequence number is then not
    /// compared with discovery's, because discovery may have restarted its sequence since the list was
    /// stored.
    bool endpoints_restored = false;
};

/// Reads the file and the state folder. If the file is rejected, the last known good configuration replaces
/// it, provided that OCHREGRADE_LAST_KNOWN_GOOD is set (and not to "0") and that the state folder, which only
/// OCHREGRADE_STATE_DIR can name in this case, has one. Otherwise throws ConfigError.
Start prepare_start();

/// Decides without reading files. `file` is the file's document, or has no value if the file was rejected. In
/// that case the process starts with recovered.last_known_good, which the caller must provide.
Start decide_start(const std::optional<nlohmann::json>& file, const RecoveredState& recovered);

}  // namespace ochregrade::sidecar
