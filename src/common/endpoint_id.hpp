// Numeric ids for the names of endpoints, equal at every sidecar, so that sidecars can refer to an endpoint
// in messages to each other.
#pragma once

#include <string_view>

#include "ochregrade/balancer.hpp"

namespace ochregrade {

/// The 32-bit FNV-1a hash of `name`, or the next free id after it. `is_taken(id)` tells whether another
/// endpoint has the id; sidecars that resolve such a collision differently disagree about the two endpoints.
template <class IsTaken>
EndpointId endpoint_id(std::string_view name, IsTaken is_taken) {
    constexpr EndpointId kOffsetBasis = 2166136261u;
    constexpr EndpointId kPrime = 16777619u;
    EndpointId id = kOffsetBasis;
    for (const char c : name) id = (id ^ static_cast<unsigned char>(c)) * kPrime;
    while (is_taken(id)) ++id;
    return id;
}

}  // namespace ochregrade
