#include "balancer/outlier_detection.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace ochregrade::detail {

EjectionChange OutlierDetection::record_outcome(EndpointRecord& endpoint, bool trial, Outcome outcome,
                                                bool late) {
    EjectionState& state = endpoint.ejection;
    const bool success = outcome == Outcome::success && !late;
    const bool decided = outcome != Outcome::cancelled && outcome != Outcome::not_sent;
    if (state.is_half_open() && trial) {
        if (!decided) {
            state.abandon_trial();
            return EjectionChange::none;
        }
        if (!success) {
            eject(endpoint, EjectionCause::own_outcomes);
            return EjectionChange::ejected;
        }
        state.reset();
        context_.append_action(LogMessage{"restored after a successful half-open trial", endpoint.info.id});
        return EjectionChange::restored;
    }
    if (!decided || !state.is_available()) return EjectionChange::none;
    state.record(success);
    if (success || !is_outlier(endpoint) || !may_eject(late || outcome == Outcome::timeout))
        return EjectionChange::none;
    eject(endpoint, EjectionCause::own_outcomes);
    return EjectionChange::ejected;
}

bool OutlierDetection::start_trial(EndpointRecord& endpoint) const {
    if (!endpoint.ejection.is_ejected()) return false;
    endpoint.ejection.start_trial();
    return true;
}

bool OutlierDetection::counts_as_ejected(const EndpointRecord& endpoint) const {
    const EjectionState& state = endpoint.ejection;
    return !state.is_available() && !(state.is_ejected_by_fleet() && context_.now >= state.backoff_until());
}

// Outcomes that a window still lacks count as successes. An endpoint that is an outlier even then is ejected
// at once: with sparse traffic, it would take long until the window is full.
bool OutlierDetection::is_outlier(const EndpointRecord& endpoint) const {
    const EjectionState& state = endpoint.ejection;
    const int max_successes = state.successes() + (kOutcomeWindow - state.outcomes());
    // outlier_threshold() is never above kSuccessThreshold, so that it need not be computed here.
    if (max_successes >= kOutcomeWindow * kSuccessThreshold) return false;
    return max_successes < kOutcomeWindow * outlier_threshold(endpoint);
}

double OutlierDetection::outlier_threshold(const EndpointRecord& endpoint) const {
    const double share = success_share_of_others(endpoint);
    const double standard_error = std::sqrt(share * (1 - share) / kOutcomeWindow);
    return kSuccessThreshold * share - 3 * standard_error;
}

// Success share over the windows of all other available endpoints; 1 if there are no outcomes. Endpoints that
// other sidecars report as failing are left out, unless they are the majority.
double OutlierDetection::success_share_of_others(const EndpointRecord& endpoint) const {
    double successes = 0, outcomes = 0, unreported_successes = 0, unreported_outcomes = 0;
    std::size_t available = 0, unreported = 0;
    for (const auto& [id, other] : table_.records()) {
        if (&other == &endpoint || !other.ejection.is_available()) continue;
        const int other_successes = other.ejection.successes();
        const int other_outcomes = other.ejection.outcomes();
        ++available;
        successes += other_successes;
        outcomes += other_outcomes;
        if (other.evidence.is_reported_failing()) continue;
        ++unreported;
        unreported_successes += other_successes;
        unreported_outcomes += other_outcomes;
    }
    if (2 * unreported >= available) {
        successes = unreported_successes;
        outcomes = unreported_outcomes;
    }
    return outcomes > 0 ? successes / outcomes : 1;
}

bool OutlierDetection::may_eject(bool for_slowness) const {
    std::size_t listed = 0, ejected = 0;
    for (const auto& [id, endpoint] : table_.records()) {
        if (!endpoint.listed) continue;
        ++listed;
        ejected += counts_as_ejected(endpoint);
    }
    return (for_slowness ? 4 : 2) * (ejected + 1) <= listed;
}

void OutlierDetection::eject(EndpointRecord& endpoint, EjectionCause cause) {
    const bool by_fleet = cause == EjectionCause::fleet_evidence;
    if (by_fleet) {
        const std::string reporters = std::to_string(endpoint.evidence.fleet().direct_reporters);
        context_.append_action(LogMessage{
            "ejected from the pool on the evidence of " + reporters + " other sidecars", endpoint.info.id});
    } else if (endpoint.ejection.is_available()) {
        context_.append_action(LogMessage{"ejected from the pool", endpoint.info.id});
    }
    endpoint.ejection.eject(context_.now + kEjectionBackoff, by_fleet);
}

bool OutlierDetection::restore(EndpointRecord& endpoint, const EndpointSnapshot& snapshot) {
    if (!(snapshot.ejected_for > 0) || !may_eject(false)) return false;
    eject(endpoint, EjectionCause::own_outcomes);
    endpoint.ejection.set_backoff_until(context_.now + std::min(kEjectionBackoff, snapshot.ejected_for));
    return true;
}

// A remaining backoff of 0 means not ejected. An expired backoff whose half-open trial has not succeeded is
// therefore saved as 1 ms: a run that restores the value within this time starts with the half-open trial;
// later the endpoint counts as available.
std::vector<EndpointSnapshot> OutlierDetection::snapshot() const {
    std::vector<EndpointSnapshot> snapshots;
    for (const auto& [id, endpoint] : table_.records()) {
        const bool ejected = !endpoint.ejection.is_available();
        if (!endpoint.listed || (!ejected && !(endpoint.latency_ratio > 0))) continue;
        const Millis ejected_for =
            ejected ? std::max(1.0, endpoint.ejection.backoff_until() - context_.now) : 0;
        snapshots.push_back({id, ejected_for, endpoint.latency_ratio});
    }
    return snapshots;
}

}  // namespace ochregrade::detail
