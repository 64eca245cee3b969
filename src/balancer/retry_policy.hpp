// Retry policy: whether an attempt may be sent, whether a request may be rejected, and the retry budget.
//
// Input: a request with its attempts and an endpoint. Output: permissions and the last time (milliseconds) at
// which a repeat may be written. Source: the platform's rules 1 to 3 (one final answer, no second run,
// endpoints that drain); retry budgets as in Finagle.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/request_table.hpp"

namespace ochregrade::detail {

class RetryPolicy {
public:
    explicit RetryPolicy(const Context& context);

    /// Nothing is sent without this. Slow start is not part of it.
    bool may_send(const Request& request, const EndpointRecord& endpoint) const;
    /// A rejection promises that the request has not run, or that a repeat does no harm.
    bool may_reject(const Request& request) const;
    /// Until then endpoints know the key of an attempt that may have run, also where a repeat is written
    /// late; infinite where there is no such key.
    static Millis repeat_deadline(const Request& request);
    /// No further attempt will ever be permitted.
    static bool are_attempts_exhausted(const Request& request);

    void record_request();
    void record_retry();
    bool is_budget_exhausted() const;

private:
    const Context& context_;
    double budget_;  // attempts
};

}  // namespace ochregrade::detail
