// Validates the settings of the decision library. Input: Settings. Output: an exception if a setting is
// invalid.
#pragma once

#include "ochregrade/balancer.hpp"

namespace ochregrade {

/// Throws std::invalid_argument if a setting is invalid; the message names the first invalid setting.
void validate(const Settings& settings);

}  // namespace ochregrade
