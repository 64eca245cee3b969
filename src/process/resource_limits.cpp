#include "process/resource_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

// Descriptors that are not for connections of clients and upstreams: log, event loop, listener, discovery,
// peers and a reserve.
constexpr std::size_t kReservedDescriptors = 32;
constexpr std::size_t kMinConnections = 16;
// Share of the connections that clients get. It is over half, because clients also keep idle and silent
// connections open.
constexpr double kClientShare = 0.62;
// Clients' requests and pipelined bytes may use 1/kRequestMemoryDivisor of the memory, at least
// kMinRequestMemory bytes: one request of the largest size. Up to three copies of a request exist at a time:
// the received one, the copy for a retry and the copy that is being sent.
constexpr std::size_t kRequestMemoryDivisor = 12;
constexpr std::size_t kMinRequestMemory = kMaxBody + kMaxHeader + kMaxFieldMemory;
// Responses may use 1/kResponseMemoryDivisor of the memory until clients have received them, at least
// kMinResponseMemory bytes: one response of the largest size.
constexpr std::size_t kResponseMemoryDivisor = 6;
constexpr std::size_t kMinResponseMemory = kMaxBody + kMaxFieldMemory;
constexpr int kBytesPerMegabyteShift = 20;
// Idle time in ms before an upstream connection is reused. Bytes that an upstream sends after the end of its
// response, such as a second response, arrive within milliseconds and would be read as the response to the
// next request. They are detected if they arrive within this time. The cost is small: each connection pool
// needs more connections only for the requests that arrive within this time.
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

std::size_t memory_share(const Config& config, std::size_t divisor, std::size_t at_least) {
    return std::max((config.memory_mb << kBytesPerMegabyteShift) / divisor, at_least);
}

}  // namespace

UpstreamPool::Limits upstream_limits(const Config& config) {
    return {config.connect_timeout, config.idle_timeout,
            max_connections(config) - max_client_connections(config), kQuietPeriod,
            memory_share(config, kResponseMemoryDivisor, kMinResponseMemory)};
}

Listener::Limits listener_limits(const Config& config) {
    // The limit is one lower, because the listener accepts one connection beyond its limit.
    return {max_client_connections(config) - 1,
            memory_share(config, kRequestMemoryDivisor, kMinRequestMemory)};
}

void check_descriptors(const Config& candidate, const Config& running) {
    rlimit limit{};
    if (candidate.sockets <= running.sockets || getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    if (candidate.sockets > limit.rlim_cur)
        throw ConfigError("limits.sockets", "asks for more descriptors than the system allows, which is " +
                                                std::to_string(limit.rlim_cur));
}

}  // namespace ochregrade::sidecar
