// How old stored state is. Wall clocks may be stepped, and the time since the machine's boot says nothing
// across boots; a record carries both.
#pragma once

#include <optional>
#include <string>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// When something was written.
struct Timestamps {
    Millis wall = 0;      // Unix time (CLOCK_REALTIME)
    Millis uptime = 0;    // since the machine's boot (CLOCK_BOOTTIME); steps of the wall clock don't move it
    std::string boot_id;  // of this boot of the machine; empty: unknown
};

Timestamps system_timestamps();

/// The least age that is certain. None: by the clocks it lies in the future, so its age is unknown.
std::optional<Millis> age(const Timestamps& then, const Timestamps& now);

}  // namespace ochregrade::sidecar
