// Why a connection was closed, on either side; counted by reason in /metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ochregrade::sidecar {

enum class CloseReason : std::size_t {
    peer_closed,     // the other side ended or broke it
    answered,        // its last exchange is complete
    idle,            // unused for as long as it may be
    timeout,         // the other side took too long
    made_room,       // its place was needed
    draining,        // this process or that server drains
    retired,         // not expected to be used again
    cancelled,       // the request on it is not wanted any more
    connect_failed,  // it never came up
    error,           // a fault of this process or machine
    count
};

using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)>;

constexpr std::string_view to_string(CloseReason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count)> kNames = {
        "peer_closed", "answered", "idle",      "timeout",        "made_room",
        "draining",    "retired",  "cancelled", "connect_failed", "error"};
    return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace ochregrade::sidecar
