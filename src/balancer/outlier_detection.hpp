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

    /// trial: the attempt was the endpoint's half-open trial. late: the attempt exceeded its latency
    /// objective and counts as a failure.
    EjectionChange record_outcome(EndpointRecord& endpoint, bool trial, Outcome outcome, bool late);
    /// Makes an ejected endpoint half-open; returns whether its next attempt is the half-open trial.
    bool start_trial(EndpointRecord& endpoint) const;
    void eject(EndpointRecord& endpoint, EjectionCause cause);

    /// Whether the panic threshold permits another ejection: half of the listed endpoints always stay in the
    /// pool, and three quarters if the ejection is for slow responses, because under overload slow endpoints
    /// are still needed.
    bool may_eject(bool for_slowness) const;
    /// Whether the endpoint counts against the panic threshold. An endpoint that was ejected on the evidence
    /// of other sidecars counts only until its backoff expires: its half-open trial may never come, because
    /// this sidecar may not use the endpoint.
    bool counts_as_ejected(const EndpointRecord& endpoint) const;
    /// The success share below which an endpoint is an outlier: kSuccessThreshold times the success share of
    /// the other endpoints, minus three standard errors of a window with that share. The comparison with the
    /// others prevents an outage when a common cause slows all endpoints and every window has failures. If
    /// the others have no failures, the result is kSuccessThreshold.
    double outlier_threshold(const EndpointRecord& endpoint) const;

    /// Ejects an endpoint that was ejected at the end of the previous run; returns whether it did. The panic
    /// threshold applies and the backoff is at most kEjectionBackoff, because what this run has seen takes
    /// precedence over data from disk.
    bool restore(EndpointRecord& endpoint, const EndpointSnapshot& snapshot);
    std::vector<EndpointSnapshot> snapshot() const;

private:
    bool is_outlier(const EndpointRecord& endpoint) const;
    double success_share_of_others(const EndpointRecord& endpoint) const;

    Context& context_;
    EndpointTable& table_;
};

}  // namespace ochregrade::detail
