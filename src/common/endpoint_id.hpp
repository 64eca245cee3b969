// Derives a numeric id from an endpoint's name. Every sidecar derives the same id, so that sidecars can refer
// to an endpoint in messages to each other.
#pragma once

#include <string_view>

#include "ochregrade/balancer.hpp"

namespace ochregrade {

/// Returns the 32-bit FNV-1a hash of `name`, or the next free id if another endpoint already has that id.
/// `is_taken(id)` returns whether another endpoint has the id. After a collision the ids depend on the order
/// in which a sidecar adds the endpoints, so two sidecars may disagree about which of them an id denotes.
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
