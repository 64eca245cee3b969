// The configuration as text: reads the file that NODE_CONFIG names, applies the environment variables that
// override fields of the file, and limits the size and nesting depth of the JSON text.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace ochregrade::sidecar {

/// Name of the program's own section of the configuration, and the name that the section had up to version
/// 0.1. This release still reads the former name; the next release does not.
constexpr const char* kOwnSection = "ochregrade";
constexpr const char* kFormerSection = "cobaltshift";

/// Parses JSON text and renames a section kFormerSection to kOwnSection. Throws a ConfigError that names
/// `source` if the text is longer than 8 MiB, nested deeper than 32 levels or not JSON, or if it contains
/// both sections.
nlohmann::json parse_config(std::string_view text, const std::string& source);

/// Returns the text of the file that NODE_CONFIG names. A file that changes while it is read is read again,
/// up to 5 times in all; then the text of the last read is returned. Throws ConfigError if NODE_CONFIG is not
/// set or the file can't be read.
std::string read_config_file();

/// Returns the document to start with: the file, with NODE_NAME, NODE_LISTEN and NODE_DISCOVERY applied.
/// Throws ConfigError.
nlohmann::json start_document();
/// Returns the document for a reload: the file, with NODE_NAME and NODE_LISTEN applied. NODE_DISCOVERY is
/// ignored, so that a changed file can move the process to another discovery address. Throws ConfigError.
nlohmann::json reload_document();
/// Logs the paths of the first 5 fields that config_fields() does not contain. Unknown fields in the file are
/// not errors, because the platform may add fields of its own to the file.
void log_unknown_fields(const nlohmann::json& document);

}  // namespace ochregrade::sidecar
