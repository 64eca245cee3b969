// How the descriptors and the memory that the configuration grants are divided between clients and upstreams
// (docs/LIMITS.md).
#pragma once

#include "control/config.hpp"
#include "proxy/listener.hpp"
#include "proxy/upstream_pool.hpp"

namespace ochregrade::sidecar {

UpstreamPool::Limits upstream_limits(const Config& config);
Listener::Limits listener_limits(const Config& config);

/// Throws ConfigError if the candidate asks for more descriptors than the system allows. Not applied to the
/// configuration at the start: its limits are lowered to what there is.
void check_descriptors(const Config& candidate, const Config& running);

}  // namespace ochregrade::sidecar
