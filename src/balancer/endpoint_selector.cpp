#include "balancer/endpoint_selector.hpp"

#include <cmath>

namespace ochregrade::detail {

namespace {

// Utilisation of the pool (AdmissionController::utilisation(), a latency ratio) above which endpoints of the
// local zone are no longer preferred: well above the utilisation of an idle pool.
constexpr double kMaxLocalUtilisation = 0.35;
// Factor on the draw weight of an endpoint that a quorum of other sidecars reports as slow.
constexpr double kSlowWeight = 0.5;

}  // namespace

Selection EndpointSelector::select(const Request& request) const {
    Candidates candidates, tried;
    for (EndpointRecord* endpoint : sources_.subset.endpoints()) {
        const bool trial_due = endpoint->ejection.is_trial_due(sources_.context.now);
        if (!trial_due && !endpoint->ejection.is_available()) continue;
        if (endpoint->evidence.is_withdrawn() || !may_use(request, *endpoint)) continue;
        if (trial_due) return {SelectionKind::endpoint, endpoint};
        (request.tried(endpoint->info.id) ? tried : candidates).push_back(endpoint);
    }
    if (candidates.empty()) candidates.swap(tried);
    if (candidates.empty()) return {};
    return choose(request, candidates);
}

bool EndpointSelector::may_use(const Request& request, const EndpointRecord& endpoint) const {
    return sources_.retry_policy.may_send(request, endpoint) && sources_.slow_start.admits(endpoint);
}

// Chooses between two randomly drawn endpoints, or starts a probe race between them. If cross-zone attempts
// have a fee and the utilisation is at most kMaxLocalUtilisation, the first of the two is drawn from the
// local zone, provided that the zone has a candidate.
Selection EndpointSelector::choose(const Request& request, const Candidates& candidates) const {
    const Settings& settings = *request.settings;
    EndpointRecord* first = draw(candidates, nullptr);
    const Candidates local = in_local_zone(request, candidates);
    if (!local.empty()) first = draw(local, nullptr);
    if (candidates.size() == 1) return {SelectionKind::endpoint, first};
    EndpointRecord* second = draw(candidates, first);
    const bool first_is_local = !local.empty() && second->info.zone != *settings.local_zone;
    const double difference = sources_.gossip.suspicion(*first) - sources_.gossip.suspicion(*second);
    if (first->in_flight == 0 && second->in_flight == 0 && std::abs(difference) < 1 &&
        sources_.races.is_worthwhile(request))
        return {SelectionKind::probe_race, first, second};
    const bool second_is_better = is_second_better(*first, *second, difference, first_is_local, settings);
    return {SelectionKind::endpoint, second_is_better ? second : first};
}

EndpointSelector::Candidates EndpointSelector::in_local_zone(const Request& request,
                                                             const Candidates& candidates) const {
    const Settings& settings = *request.settings;
    Candidates local;
    if (!(settings.fees.cross_zone > 0) || !settings.local_zone) return local;
    if (!(sources_.admission.utilisation() <= kMaxLocalUtilisation)) return local;
    for (EndpointRecord* endpoint : candidates)
        if (endpoint->info.zone == *settings.local_zone) local.push_back(endpoint);
    return local;
}

// Whether the second endpoint is better: it has fewer attempts in flight, or with equal numbers less
// suspicion, or with equal suspicion a lower latency ratio. first_is_local means that the first endpoint is
// in the local zone and the second is not. The first endpoint then has two advantages: it wins if only the
// latency ratio differs, and it may have one attempt more in flight if fleet_share() times the cross-zone fee
// exceeds the estimated probability of a late response, exp(-1 / utilisation). The fee is multiplied by
// fleet_share() because one more attempt from each of many sidecars builds a queue.
bool EndpointSelector::is_second_better(const EndpointRecord& first, const EndpointRecord& second,
                                        double suspicion_difference, bool first_is_local,
                                        const Settings& settings) const {
    const bool fee_is_higher = first_is_local && sources_.admission.fleet_share() * settings.fees.cross_zone >
                                                     std::exp(-1 / sources_.admission.utilisation());
    const int allowance = fee_is_higher ? 1 : 0;
    if (second.in_flight + allowance < first.in_flight) return true;
    if (second.in_flight != first.in_flight) return false;
    if (suspicion_difference != 0) return suspicion_difference > 0;
    return !first_is_local && second.latency_ratio < first.latency_ratio;
}

// Weight of an endpoint in the random draw, in proportion to its capacity: while this sidecar has no attempts
// in flight, their numbers do not tell the endpoints apart, and equal probabilities would overload endpoints
// of low capacity. Suspicion and a quorum's reports of slow responses lower the weight.
double EndpointSelector::draw_weight(const EndpointRecord& endpoint) const {
    const double suspicion = sources_.gossip.suspicion(endpoint);
    return endpoint.info.capacity_weight / ((1 + suspicion) * (1 + suspicion)) *
           (endpoint.evidence.is_reported_slow() ? kSlowWeight : 1);
}

EndpointRecord* EndpointSelector::draw(const Candidates& candidates, const EndpointRecord* omitted) const {
    double total = 0;
    for (const EndpointRecord* endpoint : candidates)
        total += endpoint == omitted ? 0 : draw_weight(*endpoint);
    double remaining = sources_.context.random.unit() * total;
    EndpointRecord* drawn = nullptr;
    for (EndpointRecord* endpoint : candidates) {
        if (endpoint == omitted || (drawn && !(remaining >= 0))) continue;
        drawn = endpoint;
        remaining -= draw_weight(*endpoint);
    }
    return drawn;
}

}  // namespace ochregrade::detail
