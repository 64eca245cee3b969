// When endpoints started, on this process's clock. Discovery tells it as Unix time, by a wall clock that may
// have been stepped since this process read it, or between the starts of two endpoints.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class StartTimes {
public:
    /// How far the wall clock is ahead of this process's by now (Clock::wall_error). To be called before each
    /// list.
    void observe(Millis wall_error) {
        const auto is_same = [wall_error](Millis error) { return std::abs(error - wall_error) < kMinStep; };
        if (std::any_of(errors_.begin(), errors_.end(), is_same)) return;
        if (errors_.size() == kMaxErrors) errors_.erase(errors_.begin() + 1);
        errors_.push_back(wall_error);
    }

    /// Converts a start time. Which of the wall clock's errors it contains is unknown: the latest result that
    /// is not in the future is taken, since a warm endpoint taken for a cold one loses some load, and a cold
    /// one taken for warm is overloaded. 0 stays 0: long ago.
    Millis start_of(Millis started_at, Millis now) const {
        if (started_at <= 0) return 0;
        Millis latest = -1;
        for (const Millis error : errors_) {
            const Millis start = started_at - error;
            if (start <= now + kMinStep) latest = std::max(latest, start);
        }
        return latest < 0 ? now : std::min(latest, now);
    }

private:
    static constexpr Millis kMinStep = 100;  // less is drift or the time between two readings
    static constexpr std::size_t kMaxErrors = 8;

    std::vector<Millis> errors_ = {0};  // the first is that of the process's start
};

}  // namespace ochregrade::sidecar
