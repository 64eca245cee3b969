// Converts a JSON document into the typed Config. The meaning and the units of the fields stand in
// config_schema.cpp and docs/CONFIGURATION.md.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Reads the complete document. The result is valid only if no error was added to `errors`.
Config read_document(const nlohmann::json& document, ValidationErrors& errors);

/// Reads the section "settings", including the request classes, into `config`.
void read_settings(Config& config, const JsonField& settings);

}  // namespace ochregrade::sidecar
