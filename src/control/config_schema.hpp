// The table of the configuration's fields: what checks, warnings and docs/CONFIGURATION.md all follow.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace ochregrade::sidecar {

enum class FieldKind {
    live,        // taken over by every new generation
    start_only,  // read at the start; a later file may well say otherwise, which changes nothing
    fixed,       // a change is refused while the program runs
    unused       // the platform's; accepted and not heeded
};

// "[]" stands for each item of a list, a last "*" for all that lies below.
struct FieldInfo {
    const char* path;
    FieldKind kind;
    const char* form;
    const char* meaning;
};
std::span<const FieldInfo> config_fields();
const char* to_string(FieldKind kind);

// The paths in a configuration that the table does not know, at most `most` of them.
std::vector<std::string> unknown_fields(const nlohmann::json& config, std::size_t most = 20);

// The configuration without what is unknown or read at the start only: what a generation consists of.
nlohmann::json version_document(const nlohmann::json& config);

// The table as it stands in docs/CONFIGURATION.md.
std::string fields_as_markdown();

}  // namespace ochregrade::sidecar
