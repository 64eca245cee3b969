// From a JSON document to the typed Config. The fields' meaning and units: config_schema.cpp and
// docs/CONFIGURATION.md.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Reads all of it. What comes back means something only if no error was added.
Config read_document(const nlohmann::json& document, ValidationErrors& errors);

/// Reads the section "settings" and the classes in it.
void read_settings(Config& config, const JsonField& settings);

}  // namespace ochregrade::sidecar
