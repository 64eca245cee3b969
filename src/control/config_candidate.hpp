// A new configuration while another one is in force: which fields may change, and which ones a candidate may
// leave out.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace ochregrade::sidecar {

struct Config;

/// Copies the fixed fields (FieldKind::fixed) that the candidate leaves out from the running document.
void keep_fixed(nlohmann::json& candidate, const nlohmann::json& running);

/// Reads a candidate while `running` is in force. Fixed and start-only fields that it leaves out stay as they
/// are. Throws ConfigError, also for fixed fields that differ and, if `strict`, for unknown fields.
Config read_candidate(nlohmann::json candidate, const Config& running, bool strict);

}  // namespace ochregrade::sidecar
