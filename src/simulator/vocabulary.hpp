/// @file
/// The simulator's words for the library's enumerations. This is the only place where they are translated.
///
/// Each function reads one field of a message and throws WireError where it is missing or an unknown word.
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
