// Why a connection was closed, on the client side or the upstream side; counted by reason in /metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ochregrade::sidecar {

enum class CloseReason : std::size_t {
    // The peer closed or reset the connection, or writing to a client failed. For an upstream connection
    // also: the endpoint sent an invalid response, or the endpoint's address has changed.
    peer_closed,
    answered,         // closed after its last exchange
    idle,             // unused until the idle timeout
    timeout,          // the peer exceeded a time limit
    evicted,          // closed for a new connection at the connection limit, or for a lower limit
    draining,         // this process is draining
    retired,          // idle, and not to be used again
    cancelled,        // its exchange was cancelled, withdrawn or not sent
    connect_failed,   // not established, or failed before the request's last byte was written
    error,            // an error in this process or on this machine
    unexpected_data,  // an idle upstream connection received bytes that no request asked for
    count
};

using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::count)>;

/// The reason's label in /metrics and the trace. The label of `evicted` is "made_room".
constexpr std::string_view to_string(CloseReason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count)> kNames = {
        "peer_closed", "answered",  "idle",           "timeout", "made_room",      "draining",
        "retired",     "cancelled", "connect_failed", "error",   "unexpected_data"};
    return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace ochregrade::sidecar
