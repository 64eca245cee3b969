#include "balancer/endpoint_subset.hpp"

#include <algorithm>

namespace ochregrade::detail {

namespace {

// Target time between two requests of this sidecar to the same endpoint.
constexpr Millis kReuseInterval = 600;
// Minimum number of endpoints in the subset.
constexpr double kMinSubset = 12;
// Idle connections to an endpoint are closed if this sidecar's next request to the endpoint is expected only
// after this time.
constexpr Millis kConnectionReuse = 4000;

}  // namespace

void EndpointSubset::record_arrival() {
    const Millis now = context_.now;
    if (last_arrival_ >= 0) {
        if (interarrival_ > 0)
            smooth(interarrival_, now - last_arrival_);
        else
            interarrival_ = now - last_arrival_;
    }
    last_arrival_ = now;
}

double EndpointSubset::size() const {
    const auto all = static_cast<double>(table_.size());
    const double least = std::min(kMinSubset, all);
    return interarrival_ > 0 ? std::clamp(kReuseInterval / interarrival_, least, all) : least;
}

bool EndpointSubset::is_traffic_sparse() const {
    return interarrival_ * size() * kOutcomeWindow > kEjectionBackoff;
}

bool EndpointSubset::is_traffic_low() const { return interarrival_ * size() > kConnectionReuse; }

std::vector<EndpointRecord*> EndpointSubset::endpoints() const {
    const std::vector<EndpointRecord*>& all = table_.in_service();
    const Settings& settings = *context_.settings;
    std::vector<EndpointRecord*> used;
    double missing = all.empty() ? 0 : size() * table_.in_service_weight() / static_cast<double>(all.size());
    const std::size_t start =
        all.size() * (settings.sidecar_index % settings.sidecar_count) / settings.sidecar_count;
    // Ejected endpoints stay in the arc without capacity, and cold ones with a part of their capacity. The
    // arc is extended by as many endpoints as replace the missing capacity.
    for (std::size_t i = 0; i < all.size() && missing > 0; ++i) {
        EndpointRecord* endpoint = used.emplace_back(all[(start + i) % all.size()]);
        if (!endpoint->ejection.is_available()) continue;
        const bool cold = slow_start_.is_cold(*endpoint);
        const double share = cold ? std::min(1.0, slow_start_.admission_probability(*endpoint)) : 1;
        missing -= endpoint->info.capacity_weight * share;
    }
    return used;
}

double EndpointSubset::reachable_capacity_besides(const EndpointRecord& omitted) const {
    double capacity = 0;
    for (const EndpointRecord* endpoint : endpoints())
        if (endpoint != &omitted && endpoint->reachable && endpoint->ejection.is_available())
            capacity += endpoint->info.capacity_weight * slow_start_.slow_start_share(*endpoint);
    return capacity;
}

}  // namespace ochregrade::detail
