// Admission controller: an adaptive concurrency limit, and the share of it that each request class may use.
//
// Input: latency ratios of responses (without unit), attempts sent and ended, capacity lost. Output: whether
// a request is admitted now; utilisation, the smoothed latency ratio of the load-balancing pool. Source:
// Little's law (a limit on the attempts in flight bounds their response time); adaptive concurrency limits as
// in Netflix's concurrency-limits.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

class AdmissionController {
public:
    AdmissionController(Context& context, const EndpointTable& table, const EndpointSubset& subset);

    /// Whether a request is admitted now. Requests of the highest priority weight may use the full
    /// concurrency limit; requests of a lower weight and client retries may use only a part of it. A part of
    /// less than one attempt is the probability of admission while no attempt is in flight. Without this
    /// draw, a sidecar with low traffic, which has one request at a time, would shed no load.
    bool admits(double priority_weight, double highest_priority_weight, bool client_retry);
    bool is_full() const { return in_flight_ >= limit_; }

    void attempt_sent() { ++in_flight_; }
    void attempt_ended() { --in_flight_; }

    /// Records the latency ratio of one of this sidecar's own attempts and adapts the concurrency limit.
    void record_latency_ratio(double ratio);
    /// Records the mean latency ratio that a peer reports; adapts only the utilisation.
    void record_peer_latency_ratio(double ratio);
    /// Lowers the concurrency limit in proportion when the capacity of the pool falls, because the load of
    /// the lost endpoints moves to the remaining ones before any response shows it. The limit grows again if
    /// the remaining endpoints have capacity to spare. Has no effect if the capacity does not fall or if this
    /// sidecar's traffic is not sparse. Capacities are in units of registered capacity weight.
    void record_capacity_change(double before, double after);

    /// Smoothed latency ratio of this sidecar's recent attempts and of the reports of peers.
    double utilisation() const { return utilisation_; }
    /// This sidecar's part of kMinAttemptsPerEndpoint: that number divided by the number of sidecars, but at
    /// most 1 attempt.
    double fleet_share() const;

private:
    /// Lower bound of the concurrency limit: fleet_share() for each endpoint of the table. The bound is
    /// needed where the service time alone exceeds kTargetLatencyRatio: to reject more requests would not
    /// shorten the service time, but leave endpoints idle.
    double minimum_limit() const;

    Context& context_;
    const EndpointTable& table_;
    const EndpointSubset& subset_;
    int in_flight_ = 0;
    double limit_;
    double peak_in_flight_ = 0;  // decaying maximum of in_flight_: a short pause must not lower the limit
    double utilisation_ = 0;
    Millis updated_at_ = 0;
};

}  // namespace ochregrade::detail
