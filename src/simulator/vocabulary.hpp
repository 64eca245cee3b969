/// @file
/// Translates the simulator's names of enumeration values to the library's enumerations.
///
/// Each function reads one field of a message and throws WireError if the field is missing or its value is
/// unknown.
#pragma once

#include <string_view>

#include "ochregrade/balancer.hpp"
#include "simulator/message.hpp"

namespace ochregrade::wire {

EndpointState read_endpoint_state(const Message& message, std::string_view field);
EndpointUpdateKind read_update_kind(const Message& message, std::string_view field);
Idempotency read_idempotency(const Message& message, std::string_view field);
DedupScope read_dedup_scope(const Message& message, std::string_view field);
Outcome read_outcome(const Message& message, std::string_view field);

}  // namespace ochregrade::wire
