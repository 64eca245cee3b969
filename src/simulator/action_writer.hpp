/// @file
/// Writes a balancer's actions as lines of the simulator's text protocol. Times are in milliseconds of the
/// simulator's clock.
#pragma once

#include <string>
#include <string_view>

#include "ochregrade/balancer.hpp"
#include "simulator/instance.hpp"

namespace ochregrade::wire {

/// Appends the line for `action` to `reply` and updates the attempts in flight and the requests of
/// `instance`. PublishEvidence writes nothing, because the protocol does not carry shared evidence.
void write_action(std::string& reply, Instance& instance, const Action& action);

/// Appends a FAULT line, which reports that the instance of this name could not start or handle an event.
void write_fault(std::string& reply, std::string_view instance_name, std::string_view reason);

}  // namespace ochregrade::wire
