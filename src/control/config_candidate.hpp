// A candidate is a new configuration for a process that already runs with one. This header defines which
// fields a candidate may change and which fields it may omit.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace ochregrade::sidecar {

struct Config;

/// Adds to `candidate` the fixed fields (FieldKind::fixed) that it omits, with their values in `running`, the
/// document in force. Of the section kOwnSection, "admin" and "state" are added only if they are omitted as a
/// whole.
void keep_fixed(nlohmann::json& candidate, const nlohmann::json& running);

/// Reads a candidate while `running` is in force. Fixed fields that the candidate omits keep their running
/// values (keep_fixed()). Start-only fields of the candidate have no effect: the result has the running seed
/// and no known endpoints. Throws ConfigError for invalid fields, for fixed fields that differ and, if
/// `strict`, for unknown fields.
Config read_candidate(nlohmann::json candidate, const Config& running, bool strict);

}  // namespace ochregrade::sidecar
