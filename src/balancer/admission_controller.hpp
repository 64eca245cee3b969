// Admission controller: a limit on concurrent attempts, and who may use it.
//
// Input: latency ratios of answers (without unit), attempts sent and ended, capacity lost. Output: whether a
// request is admitted now; utilisation, the smoothed latency ratio of the pool. Source: Little's law (a bound
// on what is in flight bounds the time it takes), adaptive concurrency limits as in Netflix's
// concurrency-limits.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

class AdmissionController {
public:
    AdmissionController(Context& context, const EndpointTable& table, const EndpointSubset& subset);

    /// The class of highest priority weight may fill the limit, the others leave it part of theirs. Less than
    /// one place is given by lot: a sidecar of low traffic, with one request at a time, sheds by it.
    bool admits(double priority_weight, double highest_priority_weight, bool client_retry);
    bool is_full() const { return in_flight_ >= limit_; }

    void attempt_sent() { ++in_flight_; }
    void attempt_ended() { --in_flight_; }

    /// Of an answer to one of our own attempts. Adapts the limit.
    void record_latency_ratio(double ratio);
    /// The mean of another sidecar's recent answers.
    void record_peer_latency_ratio(double ratio);
    /// What leaves the pool leaves its load to the others, and no answer shows it yet: the limit shrinks with
    /// the pool, and grows again if there was some to spare. Capacities in registered weight.
    void record_capacity_change(double before, double after);

    /// Latency ratio of recent answers.
    double utilisation() const { return utilisation_; }
    /// Our share of a limit that all sidecars divide among them, for each endpoint; at most 1.
    double fleet_share() const;

private:
    /// Where slow service alone takes that long, rejecting more does not help and idles the endpoints: one
    /// attempt for each endpoint is always allowed, and with many sidecars our share of a few.
    double minimum_limit() const;

    Context& context_;
    const EndpointTable& table_;
    const EndpointSubset& subset_;
    int in_flight_ = 0;
    double limit_;
    double peak_in_flight_ = 0;  // of late: a lull must not lower the limit
    double utilisation_ = 0;
    Millis updated_at_ = 0;
};

}  // namespace ochregrade::detail
