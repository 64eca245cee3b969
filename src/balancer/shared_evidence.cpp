#include "balancer/shared_evidence.hpp"

#include <algorithm>
#include <map>

namespace ochregrade::detail {

namespace {

// At most this share of the list, one endpoint at least, is excluded on the evidence of others alone.
constexpr double kMaxExcludedShare = 0.1;
// So many recent successes of our own, and no evidence against the endpoint is needed.
constexpr double kConfirmingSuccesses = 3;
// Failures are published as often at most,
constexpr Millis kFailureInterval = 500;
// and successes of an endpoint that others report as failing,
constexpr Millis kSuccessInterval = 2000;
// until the fleet has seen this many.
constexpr std::uint32_t kEnoughSuccesses = 3 * kOutcomeWindow;
// Trials that another sidecar's success brings forward are spread over this.
constexpr Millis kTrialSpread = 2000;

}  // namespace

void SharedEvidence::publish(EndpointRecord& endpoint, PublishReason reason) {
    if (!context_.settings->evidence_shared) return;
    EvidenceState& evidence = endpoint.evidence;
    const bool recovered = reason == PublishReason::recovered;
    // What enough others report already need not be repeated by hundreds; our own report is kept true.
    const bool well_known = recovered ? evidence.fleet().recoveries >= kEvidenceQuorum
                                      : evidence.fleet().direct_reporters >= 2 * kEvidenceQuorum;
    if (well_known && context_.now >= evidence.published_at() + kEjectionBackoff) return;
    evidence.set_published_at(context_.now);
    evidence.decay(context_.now);
    context_.act(PublishEvidence{endpoint.info.id, evidence.successes(), evidence.failures(),
                                 endpoint.latency_ratio, !endpoint.ejection.is_available(), recovered});
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
    // The worst first: the cap may not let all be ejected.
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
        // Where the others' lists withdraw an endpoint that ours still has in service, no new request goes to
        // it until ours has come.
        const bool withdrawn =
            endpoint.listed && state.fleet().withdrawals >= kEvidenceQuorum && is_within_cap(withdrawn_count);
        state.set_withdrawn(withdrawn);
        withdrawn_count += withdrawn;
        // Its successes before the first report do not contradict it.
        if (!was_reported && state.is_reported_failing() && state.failures() < 1) state.forget_successes();
    }
}

void SharedEvidence::apply(EndpointRecord& endpoint) {
    EjectionState& ejection = endpoint.ejection;
    // Another's success is worth a trial of our own, and no more; not all at once.
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
    std::size_t out = 0;
    for (const auto& [id, endpoint] : table_.records())
        out += endpoint.listed && endpoint.ejection.is_ejected_by_fleet() && outliers_.is_out(endpoint);
    return is_within_cap(out);
}

bool SharedEvidence::is_within_cap(std::size_t excluded) const {
    const double cap = std::max(1.0, kMaxExcludedShare * static_cast<double>(table_.listed_count()));
    return static_cast<double>(excluded) + 1 <= cap;
}

void SharedEvidence::forget_fleet() {
    for (auto& [id, endpoint] : table_.records()) endpoint.evidence.forget_fleet();
}

}  // namespace ochregrade::detail
