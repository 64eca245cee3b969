// A candidate is a new configuration for a process that already runs with one. This header defines which
// fields a candidate may change and which fields it may omit.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace ochregrade::sidecar {

struct Config;

/// Copies the fixed fields (FieldKind::fixed) that the candidate omits from the running document.
void keep_fixed(nlohmann::json& candidate, const nlohmann::json& running);

/// Reads a candidate while `running` is in force. Fixed and start-only fields that the candidate omits keep
/// their running values. Throws ConfigError for invalid fields, for fixed fields that differ and, if
/// `strict`, for unknown fields.
Config read_candidate(nlohmann::json candidate, const Config& running, bool strict);

}  // namespace ochregrade::sidecar
