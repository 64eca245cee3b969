// The JSON documents of the operators' endpoint (docs/CONFIGURATION.md). Operators' tools depend on the keys:
// "generation" is a version of the configuration, "trial" is its canary, "complaints" are validation errors.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "control/config_versions.hpp"

namespace ochregrade::sidecar {

class Node;

/// A retained version of the configuration without its content.
nlohmann::json version_json(const ConfigVersions::Entry& entry);
/// The running canary; null if there is none.
nlohmann::json canary_json(const Node& node);
/// The page /v1/status.
nlohmann::json status_json(const Node& node);

}  // namespace ochregrade::sidecar
