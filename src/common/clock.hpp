// The sidecar's only clock: Unix milliseconds, so that start times in discovery's records are comparable, but
// driven by the steady clock, so that a step of the system's time neither reverses time nor fires deadlines
// early.
#pragma once

#include <chrono>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    /// Unix time in milliseconds; never goes backwards.
    Millis now() const { return unix_start_ + Duration(Steady::now() - start_).count(); }
    /// The steady clock's time for a time of this clock, rounded up.
    Steady::time_point point(Millis at) const {
        return start_ + std::chrono::ceil<Steady::duration>(Duration(at - unix_start_));
    }
    /// How far the system's clock is ahead of this one, milliseconds: 0 but for steps and drift since the
    /// start.
    Millis wall_error() const { return system_now() + skipped_ + stepped_ - now(); }
    /// For tests: moves this clock and the system's forward by `time`.
    void skip(Millis time) {
        unix_start_ += time;
        skipped_ += time;
    }
    /// For tests: as if the system's clock had been stepped by `time`.
    void step_wall(Millis time) { stepped_ += time; }

private:
    using Duration = std::chrono::duration<double, std::milli>;

    static Millis system_now() {
        return Duration(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    Steady::time_point start_ = Steady::now();
    Millis unix_start_ = system_now();
    Millis skipped_ = 0;
    Millis stepped_ = 0;
};

}  // namespace ochregrade::sidecar
