// Outlier detection: decides when an endpoint is ejected, gets its half-open trial and is restored.
//
// Input: the outcome of each attempt. Output: the ejection state in the endpoint's record, log messages, and
// whether the outcome ejected or restored the endpoint. All state is in the endpoint records. Source:
// io.l5d.successRate (Linkerd) for window, threshold and backoff; Envoy's panic threshold.
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

    /// trial: the attempt was the endpoint's half-open trial. late: the attempt counts as a failure because
    /// it took longer than its latency objective. The outcomes cancelled and not_sent count neither way.
    EjectionChange record_outcome(EndpointRecord& endpoint, bool trial, Outcome outcome, bool late);
    /// Makes an ejected endpoint half-open. Returns whether the attempt about to be sent is the half-open
    /// trial: true if the endpoint was ejected.
    bool start_trial(EndpointRecord& endpoint) const;
    void eject(EndpointRecord& endpoint, EjectionCause cause);

    /// Whether the panic threshold permits another ejection: half of the listed endpoints always stay in the
    /// pool, and three quarters if the ejection is for slow responses, because under overload slow endpoints
    /// are still needed.
    bool may_eject(bool for_slowness) const;
    /// Whether the endpoint counts as ejected for the panic threshold. An endpoint that was ejected on the
    /// evidence of other sidecars counts only until its backoff expires. Its half-open trial may never come,
    /// because this sidecar sends nothing to endpoints outside its subset.
    bool counts_as_ejected(const EndpointRecord& endpoint) const;
    /// The success share of a window below which an endpoint is an outlier: kSuccessThreshold times the
    /// success share of the other endpoints, minus three standard errors of the success share of a full
    /// window. If the other endpoints have no failures, the result is kSuccessThreshold. The comparison with
    /// the other endpoints prevents an outage: if a common cause slows all endpoints, every window has
    /// failures.
    double outlier_threshold(const EndpointRecord& endpoint) const;

    /// Ejects an endpoint that its snapshot from the previous run has as ejected; returns whether it did. The
    /// backoff is the remaining one of the snapshot, at most kEjectionBackoff. Data from disk may be wrong or
    /// outdated: the panic threshold applies, so that restored ejections cannot empty the pool.
    bool restore(EndpointRecord& endpoint, const EndpointSnapshot& snapshot);
    std::vector<EndpointSnapshot> snapshot() const;

private:
    bool is_outlier(const EndpointRecord& endpoint) const;
    double success_share_of_others(const EndpointRecord& endpoint) const;

    Context& context_;
    EndpointTable& table_;
};

}  // namespace ochregrade::detail
