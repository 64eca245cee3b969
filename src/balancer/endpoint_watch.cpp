#include "balancer/endpoint_watch.hpp"

#include <algorithm>

namespace ochregrade::detail {

namespace {

// Delay after the first failed call, and the longest delay, both before jitter, which multiplies them by 0.5
// to 1.5. The platform expects a sidecar to know a list change at the latest 6 s after discovery is reachable
// again. The longest delay with jitter is half of these 6 s, which leaves the other half to the next call.
constexpr Millis kFirstRetryDelay = 1000, kMaxRetryDelay = 2000;

}  // namespace

EndpointWatch::EndpointWatch(Context& context, Timers& timers)
    : context_(context), timers_(timers), delay_(kFirstRetryDelay) {}

void EndpointWatch::subscribe() { context_.append_action(SubscribeEndpoints{true}); }

void EndpointWatch::schedule_retry() {
    const Millis delay = std::min(delay_, max_delay()) * (0.5 + context_.random.unit());
    timers_.set(context_.now + delay, {TimerPurpose::resubscribe});
    delay_ = std::min(delay_ * 2, max_delay());
}

void EndpointWatch::list_received(EndpointUpdateKind kind) {
    if (kind == EndpointUpdateKind::cached) return;
    delay_ = kFirstRetryDelay;
    has_current_list_ = true;
}

// The longest delay before jitter: 4/3 of the poll interval, but at most kMaxRetryDelay. The platform expects
// a sidecar to know a list change at the latest four poll intervals after a failed call. Jitter makes the
// delay at most half as long again, that is two poll intervals, which leaves two poll intervals to the next
// call. Without a poll interval, only kMaxRetryDelay applies.
Millis EndpointWatch::max_delay() const {
    const Millis poll_interval = context_.settings->poll_interval;
    if (poll_interval <= 0) return kMaxRetryDelay;
    return std::min(kMaxRetryDelay, poll_interval * 4 / 3);
}

}  // namespace ochregrade::detail
