// How long bytes that are read now may have been waiting in the kernel while nothing read them: the process
// was paused, or had no descriptor to accept with. The time of a request runs from its arrival, which the
// kernel does not report; this is an upper bound of it. All times are Clock milliseconds.
#pragma once

#include <algorithm>
#include <optional>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class UnreadTime {
public:
    /// All that had been waiting is read this long after reading resumed.
    static constexpr Millis kCatchUp = 50;

    /// Nothing has been read since `since`.
    void blocked(Millis since) {
        if (!since_) since_ = since;
        resumed_.reset();
    }
    /// Reading resumes.
    void resumed(Millis now) {
        if (since_ && !resumed_) resumed_ = now;
    }
    /// How long bytes that are read now may have waited; 0 if reading was not blocked.
    Millis waited(Millis now) {
        if (resumed_ && now > *resumed_ + kCatchUp) {
            since_.reset();
            resumed_.reset();
        }
        return since_ ? std::max(0.0, now - *since_) : 0;
    }

private:
    std::optional<Millis> since_;
    std::optional<Millis> resumed_;
};

}  // namespace ochregrade::sidecar
