#include "process/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

// Descriptors for everything but connections: the log, the loop, the listener, discovery, peers, a reserve.
constexpr std::size_t kReservedDescriptors = 32;
constexpr std::size_t kMinConnections = 16;
// Of the connections, more for clients than for upstreams: clients also keep idle and silent ones open.
constexpr double kClientShare = 0.62;
// The divisor of the memory for request bodies. Each may exist up to three times: read, kept for a retry, and
// being sent.
constexpr std::size_t kBodyMemoryDivisor = 12;
constexpr int kBytesPerMegabyteShift = 20;
// Bytes that an upstream sends behind its answer, a second answer above all, follow it within milliseconds
// and would be taken for the next request's answer. A connection that rests this long before its next use
// has shown them. Costs each pool only the connections that are needed within this time.
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
    // The listener accepts one connection beyond its limit.
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
