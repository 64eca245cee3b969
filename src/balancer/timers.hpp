// Pending timers and their purposes. A token is never used twice. Times are milliseconds.
#pragma once

#include <optional>
#include <unordered_map>

#include "balancer/context.hpp"

namespace ochregrade::detail {

enum class TimerPurpose { request, resubscribe };

struct Timer {
    TimerPurpose purpose = TimerPurpose::request;
    RequestId request = 0;  ///< for TimerPurpose::request
};

class Timers {
public:
    explicit Timers(Context& context) : context_(context) {}

    void set(Millis at, Timer timer) {
        timers_[next_token_] = timer;
        context_.append_action(SetTimer{at, next_token_++});
    }
    /// Removes and returns the timer that has fired; none if the token is unknown or has been taken already.
    std::optional<Timer> take(TimerToken token) {
        const auto entry = timers_.find(token);
        if (entry == timers_.end()) return std::nullopt;
        const Timer timer = entry->second;
        timers_.erase(entry);
        return timer;
    }
    std::size_t size() const { return timers_.size(); }

private:
    Context& context_;
    std::unordered_map<TimerToken, Timer> timers_;  // never iterated
    TimerToken next_token_ = 1;
};

}  // namespace ochregrade::detail
