// When servers started, on this process's monotonic clock. DiscoveryClient tells it as Unix time, by a wall
// clock that may have been stepped since this process read it, or between two servers' starts.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class StartTimes {
public:
    // How far the wall clock is ahead of this process's by now, milliseconds. To be told before each list.
    void observe(Millis wall_error) {
        const auto seen = [wall_error](Millis error) { return std::abs(error - wall_error) < kStep; };
        if (std::any_of(errors_.begin(), errors_.end(), seen)) return;
        if (errors_.size() == kMostErrors) errors_.erase(errors_.begin() + 1);
        errors_.push_back(wall_error);
    }

    // A start that was told as Unix time, on this process's clock. Which of the wall clock's states it was
    // told by is not known: the youngest that is not in the future counts, since a server that is taken for
    // cold loses some load, and a cold one that is taken for warm collapses. 0 stays 0: long ago.
    Millis start_of(Millis born, Millis now) const {
        if (born <= 0) return 0;
        Millis youngest = -1;
        for (const Millis error : errors_) {
            const Millis start = born - error;
            if (start <= now + kStep) youngest = std::max(youngest, start);
        }
        return youngest < 0 ? now : std::min(youngest, now);
    }

private:
    static constexpr Millis kStep = 100;  // less is drift or the time between two readings
    static constexpr std::size_t kMostErrors = 8;

    std::vector<Millis> errors_ = {0};  // the first is that of the process's start
};

}  // namespace ochregrade::sidecar
