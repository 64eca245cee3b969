// Endpoint subset: the part of the endpoint list that this sidecar uses.
//
// Input: arrivals of requests and the endpoint table. Output: the endpoints of the subset, and how sparse the
// traffic to each of them is. The size of the subset is such that each of its endpoints gets about one
// request of this sidecar per kReuseInterval (600 ms), but at least kMinSubset (12) endpoints if the list has
// that many. Source: deterministic subsetting, as in Google's SRE book, "Load Balancing in the Datacenter".
//
// If a sidecar spread a few requests over many endpoints, no outcome window would fill, no queue would form
// and no connection would be reused. A sidecar therefore uses a contiguous arc of the list in the order of
// ids, which is the same at every sidecar. The starts of the sidecars' arcs are evenly spaced, so that every
// endpoint is in the same number of subsets.
#pragma once

#include <vector>

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/slow_start.hpp"

namespace ochregrade::detail {

class EndpointSubset {
public:
    EndpointSubset(const Context& context, const EndpointTable& table, const SlowStart& slow_start)
        : context_(context), table_(table), slow_start_(slow_start) {}

    void record_arrival();
    /// The endpoints of the subset, ejected ones included, from the start of this sidecar's arc.
    std::vector<EndpointRecord*> endpoints() const;
    /// Capacity of the available and reachable endpoints of the subset, except the given one. A cold endpoint
    /// counts with its slow-start share.
    double reachable_capacity_besides(const EndpointRecord& omitted) const;

    /// Whether this sidecar's own outcomes take longer to fill the outcome window of an endpoint than an
    /// ejection backoff lasts. From its own outcomes alone, the sidecar then detects outliers too late.
    bool is_traffic_sparse() const;
    /// Whether this sidecar sends an endpoint its next request only after more than kConnectionReuse (4 s) on
    /// average. The sidecar's own attempts in flight then say nothing about the endpoint's load.
    bool is_traffic_low() const;

private:
    /// Number of endpoints that the subset would have if all had the same capacity weight and none were
    /// ejected or cold.
    double size() const;

    const Context& context_;
    const EndpointTable& table_;
    const SlowStart& slow_start_;
    Millis last_arrival_ = -1;  // negative: no arrival yet
    Millis interarrival_ = 0;   // smoothed; 0: not known
};

}  // namespace ochregrade::detail
