// Pending timeouts of attempts and timers of the balancer, in the order in which they are due. Uses no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "ochregrade/balancer.hpp"
#include "proxy/upstream_pool.hpp"

namespace ochregrade::sidecar {

class TimerQueue {
public:
    struct Timer {
        Millis at = 0;                      // Clock milliseconds
        std::optional<AttemptKey> attempt;  // the attempt that times out; none: balancer's timer `token`
        TimerToken token = 0;
    };

    void add_timeout(Millis at, AttemptKey attempt) {
        timers_.push({{at, attempt, 0}, Priority::attempt, next_order_++});
    }
    void add_timer(Millis at, TimerToken token) {
        timers_.push({{at, std::nullopt, token}, Priority::balancer, next_order_++});
    }
    bool empty() const { return timers_.empty(); }
    /// When the first timer is due, Clock milliseconds; the queue must not be empty.
    Millis first_due() const { return timers_.top().timer.at; }
    /// Removes and returns the first timer; the queue must not be empty.
    Timer pop() {
        const Timer timer = timers_.top().timer;
        timers_.pop();
        return timer;
    }

private:
    // An attempt's timeout precedes a balancer timer of the same time, so that the outcome of an attempt is
    // known before its request ends at the deadline.
    enum class Priority { attempt, balancer };
    struct Entry {
        Timer timer;
        Priority priority = Priority::attempt;
        std::uint64_t order = 0;  // order of insertion
        bool operator>(const Entry& other) const {
            return std::tie(timer.at, priority, order) >
                   std::tie(other.timer.at, other.priority, other.order);
        }
    };
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> timers_;
    std::uint64_t next_order_ = 0;
};

}  // namespace ochregrade::sidecar
