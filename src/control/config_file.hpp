// The configuration as text: the file that NODE_CONFIG names, the variables that override it, and the bounds
// within which text is taken for JSON at all.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace ochregrade::sidecar {

/// The program's own section of the configuration, and its name up to version 0.1, read for one release more.
constexpr const char* kOwnSection = "ochregrade";
constexpr const char* kFormerSection = "cobaltshift";

/// Text to JSON, with bounds on size and depth. Throws ConfigError that names `source`. A section under its
/// former name gets the present one.
nlohmann::json parse_config(std::string_view text, const std::string& source);

/// The text of the file that NODE_CONFIG names. One that is replaced while it is read is read once more.
/// Throws ConfigError.
std::string read_config_file();

/// The file at the start; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override it. Throws ConfigError.
nlohmann::json start_document();
/// The file after a reload; it overrides NODE_DISCOVERY, since it is what has changed. Throws ConfigError.
nlohmann::json reload_document();
/// Logs the fields that the table of fields does not have; the platform may add fields of its own.
void log_unknown_fields(const nlohmann::json& document);

}  // namespace ochregrade::sidecar
