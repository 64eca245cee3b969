// Why a connection was closed, on the client side or the upstream side; counted by reason in /metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ochregrade::sidecar {

enum class CloseReason : std::size_t {
    peer_closed,     // the peer ended it or it was reset
    answered,        // its last exchange is complete
    idle,            // unused for as long as allowed
    timeout,         // the peer took too long
    evicted,         // closed in favour of a new one at the limit on connections
    draining,        // this process drains
    retired,         // not expected to be used again
    cancelled,       // its request was cancelled or withdrawn
    connect_failed,  // never established
    error,           // an error of this process or machine
    count
};

using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)>;

/// The reason's label in /metrics and the trace.
constexpr std::string_view to_string(CloseReason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count)> kNames = {
        "peer_closed", "answered", "idle",      "timeout",        "made_room",
        "draining",    "retired",  "cancelled", "connect_failed", "error"};
    return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace ochregrade::sidecar
