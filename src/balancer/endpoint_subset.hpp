// Endpoint subset: which part of the list this sidecar uses.
//
// Input: arrivals of requests and the endpoint table. Output: the endpoints in use, by size as many as one
// asks about once in kReuseInterval, and how sparse the traffic to each is. Source: deterministic subsetting,
// as in Google's SRE book, "Load Balancing in the Datacenter".
//
// A few requests spread over many endpoints make no outcome window, no queue and no connection worth keeping.
// So a sidecar uses an arc of the list in the order of ids, which is the same everywhere. The arcs start
// evenly apart, so that all endpoints are in as many.
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
    /// Those in use, from the start of our arc on.
    std::vector<EndpointRecord*> endpoints() const;
    /// Capacity of those in use that are available and reachable, except one.
    double reachable_capacity_besides(const EndpointRecord& excluded) const;

    /// A window takes longer to fill than a backoff lasts: on its own this sidecar learns too late of
    /// outliers.
    bool is_traffic_sparse() const;
    /// Our own queues tell nothing: an endpoint gets our next request only after seconds.
    bool is_traffic_low() const;

private:
    /// How many endpoints, if all were of the same size.
    double size() const;

    const Context& context_;
    const EndpointTable& table_;
    const SlowStart& slow_start_;
    Millis last_arrival_ = -1;  // none yet
    Millis interarrival_ = 0;   // smoothed; 0: not known
};

}  // namespace ochregrade::detail
