#include "balancer/endpoint_watch.hpp"

#include <algorithm>

namespace ochregrade::detail {

namespace {

// Wait after the first failed call, and the longest, each between half and one and a half of it. A change
// counts as known 6 s after discovery can be reached again: half of that is left to the next call.
constexpr Millis kFirstRetryDelay = 1000, kMaxRetryDelay = 2000;

}  // namespace

EndpointWatch::EndpointWatch(Context& context, Timers& timers)
    : context_(context), timers_(timers), delay_(kFirstRetryDelay) {}

void EndpointWatch::subscribe() { context_.act(SubscribeEndpoints{true}); }

void EndpointWatch::schedule_retry() {
    const Millis delay = std::min(delay_, longest_delay()) * (0.5 + context_.random.unit());
    timers_.set(context_.now + delay, {TimerPurpose::resubscribe});
    delay_ = std::min(delay_ * 2, longest_delay());
}

void EndpointWatch::list_received(EndpointUpdateKind kind) {
    if (kind == EndpointUpdateKind::cached) return;
    delay_ = kFirstRetryDelay;
    has_current_list_ = true;
}

// Four poll intervals after a failed call a change counts as known: a delay, half as long again at most,
// leaves half of that time to the call.
Millis EndpointWatch::longest_delay() const {
    const Millis poll_interval = context_.settings->poll_interval;
    if (poll_interval <= 0) return kMaxRetryDelay;
    return std::min(kMaxRetryDelay, poll_interval * 4 / 3);
}

}  // namespace ochregrade::detail
