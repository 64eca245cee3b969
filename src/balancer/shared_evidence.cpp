#include "balancer/shared_evidence.hpp"

#include <algorithm>
#include <map>

namespace ochregrade::detail {

namespace {

// Cap on the endpoints that are excluded on the evidence of other sidecars alone, as a share of the endpoint
// list. The cap applies to ejected and to withdrawn endpoints separately; it is at least one endpoint of
// each.
constexpr double kMaxExcludedShare = 0.1;
// Number of this sidecar's own recent successes (decayed) that overrule the other sidecars' reports of
// failures, if the success share of its own outcomes is at least kSuccessThreshold.
constexpr double kConfirmingSuccesses = 3;
// Shortest time between two published reports of failures at an endpoint.
constexpr Millis kFailureInterval = 500;
// Shortest time between two published reports of successes at an endpoint that others report as failing.
constexpr Millis kSuccessInterval = 2000;
// Number of successes in the other sidecars' reports from which this sidecar no longer publishes its own
// successes at an endpoint that others report as failing.
constexpr std::uint32_t kEnoughSuccesses = 3 * kOutcomeWindow;
// A recovery at another sidecar brings this sidecar's half-open trial forward to a random time within this
// span.
constexpr Millis kTrialSpread = 2000;

}  // namespace

void SharedEvidence::publish(EndpointRecord& endpoint, PublishReason reason) {
    if (!context_.settings->evidence_shared) return;
    EvidenceState& evidence = endpoint.evidence;
    const bool recovered = reason == PublishReason::recovered;
    // If enough other sidecars report the same already, this sidecar does not publish: otherwise hundreds of
    // sidecars would. A sidecar that has published within the last kEjectionBackoff still updates its report.
    const bool widely_reported = recovered ? evidence.fleet().recoveries >= kEvidenceQuorum
                                           : evidence.fleet().direct_reporters >= 2 * kEvidenceQuorum;
    if (widely_reported && context_.now >= evidence.published_at() + kEjectionBackoff) return;
    evidence.set_published_at(context_.now);
    evidence.decay(context_.now);
    context_.append_action(PublishEvidence{endpoint.info.id, evidence.successes(), evidence.failures(),
                                           endpoint.latency_ratio, !endpoint.ejection.is_available(),
                                           recovered});
}

void SharedEvidence::record_outcome(EndpointRecord& endpoint, Outcome outcome) {
    if (!context_.settings->evidence_shared) return;
    if (outcome == Outcome::cancelled || outcome == Outcome::not_sent) return;
    EvidenceState& evidence = endpoint.evidence;
    const bool success = outcome == Outcome::success;
    evidence.count(context_.now, success, !success);
    const bool slow_changed = evidence.update_slow(endpoint.latency_ratio);
    const Millis since_published = context_.now - evidence.published_at();
    const bool contradicts = success && evidence.is_reported_failing() &&
                             evidence.fleet().successes < kEnoughSuccesses &&
                             since_published >= kSuccessInterval;
    const bool failure_due = !success && since_published >= kFailureInterval;
    const bool refresh_due = evidence.is_slow() && since_published >= kRefreshInterval;
    if (slow_changed || contradicts || failure_due || refresh_due) publish(endpoint, PublishReason::update);
}

void SharedEvidence::receive(const FleetEvidence& evidence) {
    update_records(evidence);
    std::vector<EndpointRecord*> reported;
    for (auto& [id, endpoint] : table_.records()) {
        const EndpointEvidence& fleet = endpoint.evidence.fleet();
        if (endpoint.listed && fleet.reporters + fleet.recoveries > 0) reported.push_back(&endpoint);
    }
    // The endpoints with the most reporters come first, because the cap may not permit all ejections.
    std::stable_sort(reported.begin(), reported.end(), [](const EndpointRecord* a, const EndpointRecord* b) {
        return a->evidence.fleet().direct_reporters > b->evidence.fleet().direct_reporters;
    });
    for (EndpointRecord* endpoint : reported) apply(*endpoint);
}

void SharedEvidence::update_records(const FleetEvidence& evidence) {
    std::map<EndpointId, EndpointEvidence> by_endpoint;
    for (const EndpointEvidence& entry : evidence.endpoints) by_endpoint[entry.endpoint] = entry;
    std::size_t withdrawn_count = 0;
    for (auto& [id, endpoint] : table_.records()) {
        EvidenceState& state = endpoint.evidence;
        const bool was_reported = state.is_reported_failing();
        const auto entry = by_endpoint.find(id);
        state.set_fleet(entry == by_endpoint.end() ? EndpointEvidence{} : entry->second);
        // If a quorum of other sidecars has seen the endpoint draining or removed, it gets no new request,
        // even while this sidecar's own list still has it in service.
        const bool withdrawn =
            endpoint.listed && state.fleet().withdrawals >= kEvidenceQuorum && is_within_cap(withdrawn_count);
        state.set_withdrawn(withdrawn);
        withdrawn_count += withdrawn;
        // Own successes before the first report of failures do not contradict the report.
        if (!was_reported && state.is_reported_failing() && state.failures() < 1) state.clear_successes();
    }
}

void SharedEvidence::apply(EndpointRecord& endpoint) {
    EjectionState& ejection = endpoint.ejection;
    // A recovery at another sidecar does not end this sidecar's ejection, but brings its half-open trial
    // forward. The random time keeps the trials of the sidecars apart.
    if (ejection.is_ejected() && endpoint.evidence.fleet().recoveries > 0 &&
        ejection.backoff_until() > context_.now + kTrialSpread)
        ejection.set_backoff_until(context_.now + kTrialSpread * context_.random.unit());
    if (!ejection.is_available() || !endpoint.evidence.is_reported_failing()) return;
    if (is_confirmed_healthy(endpoint) || !is_outlier_by_quorum(endpoint)) return;
    if (outliers_.may_eject(false) && may_eject_on_evidence())
        outliers_.eject(endpoint, EjectionCause::fleet_evidence);
}

bool SharedEvidence::is_confirmed_healthy(EndpointRecord& endpoint) const {
    EvidenceState& own = endpoint.evidence;
    own.decay(context_.now);
    return own.successes() >= kConfirmingSuccesses &&
           own.successes() >= kSuccessThreshold * (own.successes() + own.failures());
}

bool SharedEvidence::is_outlier_by_quorum(const EndpointRecord& endpoint) const {
    const EvidenceState& own = endpoint.evidence;
    const std::uint32_t reporters = own.fleet().direct_reporters + (own.failures() >= 1 ? 1 : 0);
    if (reporters < kEvidenceQuorum) return false;
    const double successes = own.fleet().successes + own.successes();
    const double failures = own.fleet().failures + own.failures();
    const double outcomes = std::max<double>(kOutcomeWindow, successes + failures);
    return (outcomes - failures) / outcomes < outliers_.outlier_threshold(endpoint);
}

bool SharedEvidence::may_eject_on_evidence() const {
    std::size_t ejected = 0;
    for (const auto& [id, endpoint] : table_.records())
        ejected += endpoint.listed && endpoint.ejection.is_ejected_by_fleet() &&
                   outliers_.counts_as_ejected(endpoint);
    return is_within_cap(ejected);
}

bool SharedEvidence::is_within_cap(std::size_t excluded) const {
    const double cap = std::max(1.0, kMaxExcludedShare * static_cast<double>(table_.listed_count()));
    return static_cast<double>(excluded) + 1 <= cap;
}

void SharedEvidence::clear_fleet_evidence() {
    for (auto& [id, endpoint] : table_.records()) endpoint.evidence.clear_fleet_evidence();
}

}  // namespace ochregrade::detail
