#include "balancer/retry_policy.hpp"

#include <algorithm>
#include <limits>

namespace ochregrade::detail {

namespace {

// Retries that each request adds to the retry budget, which in the long run allows one retry for five
// requests.
constexpr double kRetriesPerRequest = 0.2;
// Maximum of the retry budget, in retries: the largest burst that the budget allows.
constexpr double kRetryBurst = 10;
// The longest time for which the sidecar process may be stalled between the decision on an attempt and the
// write to the socket.
constexpr Millis kWriteDelay = 150;
// Largest share of a deduplication window that is given up for kWriteDelay; applies to short windows.
constexpr double kMaxWriteDelayShare = 0.25;

bool is_in_dedup_scope(DedupScope scope, const Attempt& attempt, const Endpoint& endpoint) {
    switch (scope) {
        case DedupScope::all:
            return true;
        case DedupScope::zone:
            return attempt.zone == endpoint.zone;
        case DedupScope::cell:
            return attempt.cell == endpoint.cell;
    }
    return false;
}

// Whether the endpoint knows the idempotency keys of all attempts that may have run. True for requests that
// need no key.
bool is_in_scope_of_earlier_attempts(const Request& request, const Endpoint& endpoint) {
    if (request.request_class.idempotency != Idempotency::idempotent_with_key) return true;
    const DedupScope scope = request.request_class.dedup_scope;
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
        return !attempt.may_have_run || is_in_dedup_scope(scope, attempt, endpoint);
    });
}

}  // namespace

RetryPolicy::RetryPolicy(const Context& context) : context_(context), budget_(kRetryBurst) {}

// The numbers refer to the rules in docs/RULES.md.
bool RetryPolicy::may_send(const Request& request, const EndpointRecord& endpoint) const {
    const Millis now = context_.now;
    const bool repeatable = request.request_class.idempotency != Idempotency::not_idempotent;
    if (request.ended || request.streaming || now >= request.deadline) return false;  // R1, R2
    if (request.attempts.size() >= request.settings->max_attempts) return false;
    if (!endpoint.is_serving()) return false;  // R6
    if (request.any_in_flight() && (!request.settings->hedging_allowed || !repeatable)) return false;
    if (!repeatable && request.first_possible_run()) return false;  // R4
    if (now >= repeat_deadline(request)) return false;
    return is_in_scope_of_earlier_attempts(request, endpoint.info);
}

bool RetryPolicy::may_reject(const Request& request) const {
    const RequestClass& request_class = request.request_class;
    if (request.ended || request.streaming) return false;
    if (!request.first_possible_run() || request_class.idempotency == Idempotency::idempotent) return true;
    return request_class.idempotency == Idempotency::idempotent_with_key &&
           request_class.dedup_scope == DedupScope::all && context_.now < repeat_deadline(request);
}

Millis RetryPolicy::repeat_deadline(const Request& request) {
    constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
    if (request.request_class.idempotency != Idempotency::idempotent_with_key) return kNever;
    const Attempt* first = request.first_possible_run();
    if (!first) return kNever;
    const Millis window = request.request_class.dedup_window;
    return first->sent_at + window - std::min(kWriteDelay, window * kMaxWriteDelayShare);
}

bool RetryPolicy::are_attempts_exhausted(const Request& request) {
    return request.attempts.size() >= request.settings->max_attempts ||
           (request.request_class.idempotency == Idempotency::not_idempotent && request.first_possible_run());
}

void RetryPolicy::record_retry() { budget_ -= 1; }

bool RetryPolicy::is_budget_exhausted() const { return budget_ < 1; }

void RetryPolicy::record_request() { budget_ = std::min(budget_ + kRetriesPerRequest, kRetryBurst); }

}  // namespace ochregrade::detail
