#include "process/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

// Descriptors that are not for connections: log, event loop, listener, discovery, peers and a reserve.
constexpr std::size_t kReservedDescriptors = 32;
constexpr std::size_t kMinConnections = 16;
// Share of the connections that clients get. Clients get more than upstreams, because clients also keep idle
// and silent connections open.
constexpr double kClientShare = 0.62;
// Request bodies may use this fraction (1/n) of the memory. Up to three copies of a body exist at a time: the
// received body, the copy for a retry and the copy that is being sent.
constexpr std::size_t kBodyMemoryDivisor = 12;
constexpr int kBytesPerMegabyteShift = 20;
// Minimum idle time of an upstream connection before it is reused. Bytes that an upstream sends after the end
// of its response, such as a second response, arrive within milliseconds and would be read as the response to
// the next request; during this time they are detected. Each pool only needs additional connections for the
// requests that arrive within this time.
constexpr Millis kQuietPeriod = 25;

std::size_t max_connections(const Config& config) {
    rlimit limit{};
    std::size_t descriptors = config.sockets;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
        descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
    return std::max(descriptors, kReservedDescriptors + kMinConnections) - kReservedDescriptors;
}

std::size_t max_client_connections(const Config& config) {
    return static_cast<std::size_t>(static_cast<double>(max_connections(config)) * kClientShare);
}

}  // namespace

UpstreamPool::Limits upstream_limits(const Config& config) {
    return {config.connect_timeout, config.idle_timeout,
            max_connections(config) - max_client_connections(config), kQuietPeriod};
}

Listener::Limits listener_limits(const Config& config) {
    const std::size_t body_bytes = (config.memory_mb << kBytesPerMegabyteShift) / kBodyMemoryDivisor;
    // One less, because the listener accepts one connection beyond its limit.
    return {max_client_connections(config) - 1, std::max<std::size_t>(kMaxBody, body_bytes)};
}

void check_descriptors(const Config& candidate, const Config& running) {
    rlimit limit{};
    if (candidate.sockets <= running.sockets || getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    if (candidate.sockets > limit.rlim_cur)
        throw ConfigError("limits.sockets", "asks for more descriptors than the system allows, which is " +
                                                std::to_string(limit.rlim_cur));
}

}  // namespace ochregrade::sidecar
