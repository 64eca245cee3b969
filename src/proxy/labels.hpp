// The names of outcomes and reasons in the metrics and the trace.
#pragma once

#include <string_view>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

std::string_view to_string(EndReason reason);
std::string_view to_string(Outcome outcome);

}  // namespace ochregrade::sidecar
