// Endpoint watch: when to ask discovery for the list again.
//
// Input: updates and failed calls of discovery. Output: SubscribeEndpoints, and a timer after a failed call:
// exponential backoff with jitter, milliseconds. Owns the backoff.
#pragma once

#include "balancer/context.hpp"
#include "balancer/timers.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

class EndpointWatch {
public:
    EndpointWatch(Context& context, Timers& timers);

    void subscribe();
    /// The retry must not come in step with other sidecars: the list is one service for all.
    void schedule_retry();
    /// Not for updates of kind failed.
    void list_received(EndpointUpdateKind kind);
    /// Whether a list other than a cached one has come.
    bool has_current_list() const { return has_current_list_; }

private:
    Millis longest_delay() const;

    Context& context_;
    Timers& timers_;
    Millis delay_;  // after the next failed call
    bool has_current_list_ = false;
};

}  // namespace ochregrade::detail
