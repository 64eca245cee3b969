// Divides the connections that the descriptor limit allows between clients and upstreams, and sets the memory
// for clients' requests (docs/LIMITS.md).
#pragma once

#include "control/config.hpp"
#include "proxy/listener.hpp"
#include "proxy/upstream_pool.hpp"

namespace ochregrade::sidecar {

UpstreamPool::Limits upstream_limits(const Config& config);
Listener::Limits listener_limits(const Config& config);

/// Throws ConfigError if the candidate raises limits.sockets above RLIMIT_NOFILE. Not called for the
/// configuration at the start of the process, which may exceed RLIMIT_NOFILE: the limits above use the lower
/// of the two.
void check_descriptors(const Config& candidate, const Config& running);

}  // namespace ochregrade::sidecar
