// Sends a gossip message to peers drawn at random. Source: epidemic dissemination by uniform peer sampling.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "balancer/context.hpp"

namespace ochregrade::detail {

/// Draws count sidecars, with repetition, and sends the message to each of them except this sidecar itself.
inline void send_to_random_peers(Context& context, std::uint32_t count,
                                 const std::vector<std::uint8_t>& bytes) {
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto peer = static_cast<std::uint32_t>(context.random.below(context.settings->sidecar_count));
        if (peer != context.settings->sidecar_index) context.append_action(SendGossip{peer, bytes});
    }
}

}  // namespace ochregrade::detail
