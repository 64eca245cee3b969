// Outlier detection: when an endpoint is ejected, tried again (half-open) and restored.
//
// Input: the outcome of each attempt. Output: the ejection state in the endpoint's record, log messages, and
// what has changed. Owns no state beyond these records. Source: io.l5d.successRate (Linkerd) for window,
// threshold and backoff; Envoy's panic threshold.
#pragma once

#include <vector>

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

enum class EjectionChange { none, ejected, restored };
enum class EjectionCause { own_outcomes, fleet_evidence };

class OutlierDetection {
public:
    OutlierDetection(Context& context, EndpointTable& table) : context_(context), table_(table) {}

    /// trial: the attempt was its half-open trial. late: past its latency objective, as good as timed out.
    EjectionChange record_outcome(EndpointRecord& endpoint, bool trial, Outcome outcome, bool late);
    /// Whether the endpoint's next attempt is its half-open trial; it is half-open from here on.
    bool begin_trial(EndpointRecord& endpoint) const;
    void eject(EndpointRecord& endpoint, EjectionCause cause);

    /// Panic threshold: half of the listed endpoints stay in the pool, whatever their windows say, and three
    /// quarters if it is for slow answers: under overload slow endpoints are still needed.
    bool may_eject(bool for_slowness) const;
    /// Out of the pool. What is out on the evidence of others may be tried once its backoff is over, and may
    /// never be: we need not use it.
    bool is_out(const EndpointRecord& endpoint) const;
    /// Success share below which an endpoint is an outlier among the others. Shared slowness makes every
    /// endpoint fail, and ejecting them all makes it an outage. So it is held against the others: the
    /// threshold of their success share, less three standard errors of a window of that share. While the
    /// others don't fail, this is the threshold and nothing else.
    double outlier_threshold(const EndpointRecord& endpoint) const;

    /// Whether it was ejected by what an earlier lifetime knew: within the panic threshold and for no more
    /// than a whole backoff, since what comes from a disk gives way to what this lifetime has seen.
    bool restore(EndpointRecord& endpoint, const EndpointSnapshot& snapshot);
    std::vector<EndpointSnapshot> snapshot() const;

private:
    bool is_outlier(const EndpointRecord& endpoint) const;
    double success_share_of_others(const EndpointRecord& endpoint) const;

    Context& context_;
    EndpointTable& table_;
};

}  // namespace ochregrade::detail
