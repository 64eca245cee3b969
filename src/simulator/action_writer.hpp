/// @file
/// Writes a balancer's actions as lines of the simulator's text protocol. Times are in milliseconds of the
/// simulator's clock.
#pragma once

#include <string>
#include <string_view>

#include "ochregrade/balancer.hpp"
#include "simulator/instance.hpp"

namespace ochregrade::wire {

/// Appends the line for `action` to `reply` and counts what it starts or ends in `instance` (attempts in
/// flight, requests). PublishEvidence writes nothing: this protocol carries no shared evidence.
void write_action(std::string& reply, Instance& instance, const Action& action);

/// Appends a FAULT line: the instance of this name could not start or could not handle an event.
void write_fault(std::string& reply, std::string_view instance_name, std::string_view reason);

}  // namespace ochregrade::wire
