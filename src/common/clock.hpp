// The sidecar's only clock: Unix milliseconds, so that discovery's born_ms compares, but driven by the steady
// clock, so that a step of the system's time can neither run time backwards nor fire deadlines early.
#pragma once

#include <chrono>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class Clock {
public:
    using Steady = std::chrono::steady_clock;

    Millis now() const { return unix_start_ + Duration(Steady::now() - start_).count(); }
    Steady::time_point point(Millis at) const {
        return start_ + std::chrono::ceil<Steady::duration>(Duration(at - unix_start_));
    }
    // How far the system's clock is ahead of this one by now: 0 but for steps and drift since the start.
    Millis wall_error() const { return system_now() + skipped_ + stepped_ - now(); }
    // For what takes long in tests: it is that much later.
    void skip(Millis time) { unix_start_ += time, skipped_ += time; }
    // The same: as if the system's clock had been stepped.
    void step_wall(Millis time) { stepped_ += time; }

private:
    using Duration = std::chrono::duration<double, std::milli>;
    Steady::time_point start_ = Steady::now();
    static Millis system_now() {
        return Duration(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    Millis unix_start_ = system_now();
    Millis skipped_ = 0, stepped_ = 0;
};

}  // namespace ochregrade::sidecar
