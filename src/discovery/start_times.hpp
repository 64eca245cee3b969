// Converts the start times of endpoints to this process's clock. Discovery sends the start times as Unix
// times of a wall clock that may have been stepped since this process started, or between the starts of two
// endpoints. The steps are taken from the wall clock of this machine.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class StartTimes {
public:
    /// Records how far the wall clock is now ahead of this process's clock (Clock::wall_error). The caller
    /// does this before it converts the times of a list.
    void observe(Millis wall_error) {
        const auto is_same = [wall_error](Millis error) { return std::abs(error - wall_error) < kMinStep; };
        if (std::any_of(errors_.begin(), errors_.end(), is_same)) return;
        if (errors_.size() == kMaxErrors) errors_.erase(errors_.begin() + 1);
        errors_.push_back(wall_error);
    }

    /// Converts a start time; `now` and the result are times of this process's clock. It is unknown which of
    /// the recorded errors the wall clock had at the start, so the function tries each error and returns the
    /// latest result that is not in the future, or `now` if there is none. The latest result is the safe one:
    /// a warm endpoint that is treated as cold only loses some load, but a cold endpoint that is treated as
    /// warm is overloaded. 0 means long ago and stays 0.
    Millis to_process_clock(Millis started_at, Millis now) const {
        if (started_at <= 0) return 0;
        Millis latest = -1;
        for (const Millis error : errors_) {
            const Millis start = started_at - error;
            if (start <= now + kMinStep) latest = std::max(latest, start);
        }
        return latest < 0 ? now : std::min(latest, now);
    }

private:
    static constexpr Millis kMinStep = 100;  // smaller differences are drift or the time between two readings
    static constexpr std::size_t kMaxErrors = 8;

    // The recorded errors of the wall clock in ms. The first one, at the start of the process, is always
    // retained. If kMaxErrors are recorded, a new error replaces the oldest of the others.
    std::vector<Millis> errors_ = {0};
};

}  // namespace ochregrade::sidecar
