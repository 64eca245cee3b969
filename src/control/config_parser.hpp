// Converts a JSON document into the typed Config. The meaning and the units of the fields are described in
// config_schema.cpp and docs/CONFIGURATION.md.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Reads the document to its end, even if it has errors. The result may be used only if `errors` is empty
/// afterwards; errors that were added before the call count too.
Config read_document(const nlohmann::json& document, ValidationErrors& errors);

/// Reads the section "settings", including the request classes, into `config`.
void read_settings(Config& config, const JsonField& settings);

}  // namespace ochregrade::sidecar
