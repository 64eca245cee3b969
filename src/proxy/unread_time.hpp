// Upper bound of the time for which bytes that are read now have been unread in the kernel, because the
// process was paused or had no descriptor to accept their connection. A request's time left runs from its
// arrival, which the kernel does not report, so this bound is used instead. All times are Clock milliseconds.
#pragma once

#include <algorithm>
#include <optional>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class UnreadTime {
public:
    /// Milliseconds after reading resumed. By then, all bytes that had been waiting are assumed to be read.
    static constexpr Millis kCatchUp = 50;

    /// Reading has been blocked since `since`.
    void blocked(Millis since) {
        if (!since_) since_ = since;
        resumed_.reset();
    }
    /// Reading has resumed at `now`.
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
