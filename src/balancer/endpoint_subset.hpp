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

#include <algorithm>
#include <vector>

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/slow_start.hpp"

namespace ochregrade::detail {

/// Each endpoint in use gets a request about as often,
constexpr Millis kReuseInterval = 600;
/// but no fewer endpoints are used.
constexpr double kMinSubset = 12;
/// A connection not expected to be used within this is closed.
constexpr Millis kConnectionReuse = 4000;

class EndpointSubset {
public:
    EndpointSubset(const Context& context, const EndpointTable& table, const SlowStart& slow_start)
        : context_(context), table_(table), slow_start_(slow_start) {}

    void record_arrival() {
        const Millis now = context_.now;
        if (last_arrival_ >= 0) {
            if (interarrival_ > 0)
                smooth(interarrival_, now - last_arrival_);
            else
                interarrival_ = now - last_arrival_;
        }
        last_arrival_ = now;
    }
    /// Those in use, from the start of our arc on.
    std::vector<EndpointRecord*> endpoints() const;
    /// Capacity of those in use that are available and reachable, except one.
    double reachable_capacity_besides(const EndpointRecord& excluded) const;

    /// A window takes longer to fill than a backoff lasts: on its own this sidecar learns too late of
    /// outliers.
    bool is_traffic_sparse() const { return interarrival_ * size() * kOutcomeWindow > kEjectionBackoff; }
    /// Our own queues tell nothing: an endpoint gets our next request only after seconds.
    bool is_traffic_low() const { return interarrival_ * size() > kConnectionReuse; }

private:
    /// How many endpoints, if all were of the same size.
    double size() const {
        const double all = static_cast<double>(table_.size());
        return interarrival_ > 0 ? std::clamp(kReuseInterval / interarrival_, std::min(kMinSubset, all), all)
                                 : std::min(kMinSubset, all);
    }

    const Context& context_;
    const EndpointTable& table_;
    const SlowStart& slow_start_;
    Millis last_arrival_ = -1;  // none yet
    Millis interarrival_ = 0;   // smoothed; 0: not known
};

}  // namespace ochregrade::detail
