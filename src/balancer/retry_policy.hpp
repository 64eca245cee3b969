// Retry policy: whether an attempt may be sent, whether a request may be rejected, and the retry budget.
//
// Input: a request with its attempts and an endpoint. Output: permissions and the latest time (milliseconds)
// at which a repeated request may be written. Source: the platform's rules 1 to 3 (exactly one final
// response, no second run of a request that must not be repeated, no request to a draining endpoint); retry
// budgets as in Finagle.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/request_table.hpp"

namespace ochregrade::detail {

class RetryPolicy {
public:
    explicit RetryPolicy(const Context& context);

    /// Whether the rules allow an attempt of the request at the endpoint; required for every SendAttempt.
    /// Slow start is checked separately.
    bool may_send(const Request& request, const EndpointRecord& endpoint) const;
    /// Whether the request may be rejected: a rejection promises that the request has not run or that a
    /// repeat is harmless. False also once the request has ended or its response is being streamed.
    bool may_reject(const Request& request) const;
    /// The time before which a repeat must be sent and written. Until then the endpoints know the key of the
    /// first attempt that may have run, and a margin for a late write is left. Infinite if the request has no
    /// idempotency key or certainly has not run.
    static Millis repeat_deadline(const Request& request);
    /// Whether no further attempt will be permitted, because the attempt limit is reached or because the
    /// request is not idempotent and may have run. The deduplication window and scope are not checked.
    static bool are_attempts_exhausted(const Request& request);

    void record_request();
    void record_retry();
    bool is_budget_exhausted() const;

private:
    const Context& context_;
    double budget_;  // in retries
};

}  // namespace ochregrade::detail
