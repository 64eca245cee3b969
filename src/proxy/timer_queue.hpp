// Pending timeouts of attempts and timers of the balancer, in the order in which they are due. No clock.
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
        std::optional<AttemptKey> attempt;  // its timeout; if none, the balancer's timer `token`
        TimerToken token = 0;
    };

    void add_timeout(Millis at, AttemptKey attempt) {
        timers_.push({{at, attempt, 0}, Priority::attempt, next_order_++});
    }
    void add_timer(Millis at, TimerToken token) {
        timers_.push({{at, std::nullopt, token}, Priority::balancer, next_order_++});
    }
    bool empty() const { return timers_.empty(); }
    /// When the first one is due; the queue must not be empty.
    Millis first_due() const { return timers_.top().timer.at; }
    /// Removes and returns the first one; the queue must not be empty.
    Timer pop() {
        const Timer timer = timers_.top().timer;
        timers_.pop();
        return timer;
    }

private:
    // An attempt's timeout comes before a timer for the same moment: a request that ends at its deadline has
    // then seen how its attempt ended.
    enum class Priority { attempt, balancer };
    struct Entry {
        Timer timer;
        Priority priority = Priority::attempt;
        std::uint64_t order = 0;  // of being added
        bool operator>(const Entry& other) const {
            return std::tie(timer.at, priority, order) >
                   std::tie(other.timer.at, other.priority, other.order);
        }
    };
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> timers_;
    std::uint64_t next_order_ = 0;
};

}  // namespace ochregrade::sidecar
