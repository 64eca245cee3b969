// Endpoint watch: when to ask discovery for the list again.
//
// Input: updates and failed calls of discovery. Output: SubscribeEndpoints, and a timer after a failed call:
// exponential backoff with jitter, milliseconds. Owns the backoff.
#pragma once

#include "balancer/context.hpp"
#include "balancer/timers.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

/// Wait after the first failed call, and the longest, each between half and one and a half of it. A change
/// counts as known 6 s after discovery can be reached again: half of that is left to the next call.
constexpr Millis kFirstRetryDelay = 1000, kMaxRetryDelay = 2000;

class EndpointWatch {
public:
    EndpointWatch(Context& context, Timers& timers) : context_(context), timers_(timers) {}

    void subscribe() { context_.act(SubscribeEndpoints{true}); }
    /// The retry must not come in step with other sidecars: the list is one service for all.
    void call_failed();
    /// Not for updates of kind failed.
    void list_received(EndpointUpdateKind kind);
    /// Whether a list other than a cached one has come.
    bool has_current_list() const { return has_current_list_; }

private:
    Millis longest_delay() const;

    Context& context_;
    Timers& timers_;
    Millis delay_ = kFirstRetryDelay;
    bool has_current_list_ = false;
};

}  // namespace ochregrade::detail
