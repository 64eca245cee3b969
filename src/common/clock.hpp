// The clock of the sidecar's deadlines and of its balancer. It returns Unix time in milliseconds, so that its
// times are comparable with the start times in discovery's endpoint list. It is set from the system clock
// once, at the start, and then advances with the steady clock. A step of the system clock therefore neither
// makes this clock go backwards nor lets deadlines expire early.
#pragma once

#include <chrono>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    /// Unix time in milliseconds; never goes backwards.
    Millis now() const { return unix_start_ + Duration(Steady::now() - start_).count(); }
    /// Converts a time of this clock to a time point of the steady clock, rounded up to its resolution.
    Steady::time_point point(Millis at) const {
        return start_ + std::chrono::ceil<Steady::duration>(Duration(at - unix_start_));
    }
    /// How far the system clock is ahead of this clock, in milliseconds. The difference is 0 at the start and
    /// changes only by steps and drift of the system clock.
    Millis wall_error() const { return system_now() + skipped_ + stepped_ - now(); }
    /// For tests: moves this clock and the system clock forward by `time`.
    void skip(Millis time) {
        unix_start_ += time;
        skipped_ += time;
    }
    /// For tests: simulates a step of the system clock by `time`.
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
