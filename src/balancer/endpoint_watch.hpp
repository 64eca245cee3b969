// Endpoint watch: when to subscribe to discovery's endpoint list, and when to retry after a failed call.
//
// Input: updates and failed calls of discovery. Output: SubscribeEndpoints, and after a failed call a timer
// with exponential backoff and jitter (milliseconds). Owns the backoff.
#pragma once

#include "balancer/context.hpp"
#include "balancer/timers.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

class EndpointWatch {
public:
    EndpointWatch(Context& context, Timers& timers);

    void subscribe();
    /// Sets the timer of the next call after a failed one. Jitter keeps the sidecars from retrying at the
    /// same time, since all of them call the same discovery service.
    void schedule_retry();
    /// A list has arrived: resets the backoff, unless the list is the cached one. Must not be called for
    /// updates of kind failed.
    void list_received(EndpointUpdateKind kind);
    /// Whether a list has arrived in this run, other than the cached list.
    bool has_current_list() const { return has_current_list_; }

private:
    Millis max_delay() const;

    Context& context_;
    Timers& timers_;
    Millis delay_;  // delay after the next failed call, before jitter
    bool has_current_list_ = false;
};

}  // namespace ochregrade::detail
