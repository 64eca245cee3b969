// The table of the configuration's fields, which unknown_fields(), version_document() and the table in
// docs/CONFIGURATION.md derive from.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace ochregrade::sidecar {

enum class FieldKind {
    live,        // changes with each version
    start_only,  // read at the start; ignored in candidates
    fixed,       // candidates that change it are rejected
    unused       // the platform's; accepted and ignored
};

struct FieldInfo {
    const char* path;  // "[]" stands for each item of a list, a final "*" for everything below
    FieldKind kind;
    const char* form;
    const char* meaning;
};
std::span<const FieldInfo> config_fields();
const char* to_string(FieldKind kind);

/// The paths in a configuration that the table does not have, at most `most` of them.
std::vector<std::string> unknown_fields(const nlohmann::json& config, std::size_t most = 20);

/// The configuration without unknown and start-only fields: the content of a version.
nlohmann::json version_document(const nlohmann::json& config);

/// The table as it is in docs/CONFIGURATION.md.
std::string fields_as_markdown();

}  // namespace ochregrade::sidecar
