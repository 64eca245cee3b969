// Determines the age of stored state. A record contains the times of two clocks, because the wall clock may
// be stepped and the uptime of the machine is comparable only within one boot.
#pragma once

#include <optional>
#include <string>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// The time at which a record was written.
struct Timestamps {
    Millis wall = 0;      // Unix time (CLOCK_REALTIME)
    Millis uptime = 0;    // since the machine's boot (CLOCK_BOOTTIME); independent of the wall clock
    std::string boot_id;  // identifies the machine's boot; empty if unknown
};

Timestamps system_timestamps();

/// Returns the smallest age that is certain, in milliseconds. Returns nothing if `then` is later than `now`
/// according to the clocks, so that the age is unknown.
std::optional<Millis> age(const Timestamps& then, const Timestamps& now);

}  // namespace ochregrade::sidecar
