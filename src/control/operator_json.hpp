// The JSON views of the operators' endpoint (docs/CONFIGURATION.md). The keys are an interface: "generation"
// is a version of the configuration, "trial" its canary, "complaints" are validation errors.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/config_versions.hpp"

namespace ochregrade::sidecar {

class Node;

/// One retained version, without its content.
nlohmann::json version_json(const ConfigVersions::Entry& entry);
/// The canary that is under way; null without one.
nlohmann::json canary_json(const Node& node);
/// The page /v1/status.
nlohmann::json status_json(const Node& node);

}  // namespace ochregrade::sidecar
