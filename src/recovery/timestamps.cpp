#include "recovery/timestamps.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>

namespace ochregrade::sidecar {

namespace {

// 1 s: clocks of one machine differ by less. A record that seems to be from the future by at most this much
// has the age 0; the age of a record from further in the future is unknown.
constexpr Millis kClockTolerance = 1000;

Millis read_clock(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<Millis>(time.tv_sec) * 1e3 + static_cast<Millis>(time.tv_nsec) / 1e6;
}

}  // namespace

Timestamps system_timestamps() {
    Timestamps now{read_clock(CLOCK_REALTIME), read_clock(CLOCK_BOOTTIME), {}};
    std::ifstream("/proc/sys/kernel/random/boot_id") >> now.boot_id;
    return now;
}

std::optional<Millis> age(const Timestamps& then, const Timestamps& now) {
    if (!then.boot_id.empty() && then.boot_id == now.boot_id) {
        const Millis elapsed = now.uptime - then.uptime;
        if (elapsed < -kClockTolerance) return {};
        return std::max(0.0, elapsed);
    }
    // The machine has been rebooted since the record was written, or a boot id is unknown, which is treated
    // the same. The record is therefore taken to be at least as old as the present boot.
    const Millis elapsed = now.wall - then.wall;
    if (!(elapsed >= -kClockTolerance)) return {};
    return std::max({0.0, elapsed, now.uptime});
}

}  // namespace ochregrade::sidecar
