// The table of all configuration fields. The functions unknown_fields() and version_document() use this
// table; the table in docs/CONFIGURATION.md is printed from it.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace ochregrade::sidecar {

enum class FieldKind {
    live,        // a new version may change the field
    start_only,  // takes effect only at the start of the process; ignored in candidates
    fixed,       // a candidate that changes the field is rejected
    unused       // defined by the platform; accepted and ignored
};

struct FieldInfo {
    const char*
        path;  // "[]": each item of a list; a final "*": all fields below that have no row of their own
    FieldKind kind;
    const char* form;
    const char* meaning;
};
std::span<const FieldInfo> config_fields();
const char* to_string(FieldKind kind);

/// The paths of the fields of `config` that the table does not contain, at most `max_fields` of them.
std::vector<std::string> unknown_fields(const nlohmann::json& config, std::size_t max_fields = 20);

/// The content of a configuration version: the configuration without unknown and start-only fields.
nlohmann::json version_document(const nlohmann::json& config);

/// The table in the Markdown form that docs/CONFIGURATION.md contains.
std::string fields_as_markdown();

}  // namespace ochregrade::sidecar
