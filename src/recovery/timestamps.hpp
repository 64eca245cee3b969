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

/// Returns the time from `then` to `now` in milliseconds. Within one boot this is the difference of the
/// uptimes. Otherwise it is the difference of the wall clock, but at least the present uptime. Returns
/// nothing if `then` is more than 1 s later than `now` according to the clock used, because the age is then
/// unknown.
std::optional<Millis> age(const Timestamps& then, const Timestamps& now);

}  // namespace ochregrade::sidecar
