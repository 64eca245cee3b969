// Evidence about one endpoint: this sidecar's own recent outcomes (decaying counts), the reports of the other
// sidecars, and the time of this sidecar's last report. SharedEvidence updates the evidence and acts on it.
// Times are milliseconds.
#pragma once

#include <cmath>
#include <cstdint>

#include "balancer/latency_ratio.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

/// Least number of sidecars that must report the same about an endpoint before this sidecar acts on the
/// reports: the quorum. Reporters of failures count only if their reports are direct.
constexpr std::uint32_t kEvidenceQuorum = 3;
/// Time constant of the decaying counts: after this time an outcome has about a third (1/e) of its weight
/// left.
constexpr Millis kEvidenceDecay = 5000;
/// A slow endpoint is reported again, with its next outcome, once this sidecar's last report about it is this
/// old, even if nothing has changed: the other sidecars drop a report after 10 s.
constexpr Millis kRefreshInterval = 5000;
/// The latency ratio above which an endpoint becomes slow, and the one down to which it stays slow.
constexpr double kSlowRatio = 1, kNormalRatio = 0.8;

/// What this sidecar has seen of one endpoint and what its peers report of it.
class EvidenceState {
public:
    /// The totals over the other sidecars' reports.
    const EndpointEvidence& fleet() const { return fleet_; }
    void set_fleet(const EndpointEvidence& evidence) { fleet_ = evidence; }
    bool is_reported_failing() const { return fleet_.reporters > 0; }
    bool is_reported_slow() const {
        return fleet_.latency_reporters >= kEvidenceQuorum && fleet_.latency_ratio > kSlowRatio;
    }

    /// Whether the endpoint gets no new request because a quorum of other sidecars reports it as draining or
    /// removed. SharedEvidence limits the number of withdrawn endpoints.
    bool is_withdrawn() const { return withdrawn_; }
    void set_withdrawn(bool withdrawn) { withdrawn_ = withdrawn; }

    /// Decaying counts of this sidecar's own outcomes, as of the last call of count() or decay(). Late
    /// responses count as successes.
    double successes() const { return successes_; }
    double failures() const { return failures_; }
    void count(Millis now, double successes, double failures) {
        const double remaining = std::exp((counted_at_ - now) / kEvidenceDecay);
        successes_ = successes_ * remaining + successes;
        failures_ = failures_ * remaining + failures;
        counted_at_ = now;
    }
    void decay(Millis now) { count(now, 0, 0); }
    void clear_successes() { successes_ = 0; }
    void clear_failures() { failures_ = 0; }

    Millis published_at() const { return published_at_; }
    void set_published_at(Millis now) { published_at_ = now; }

    bool is_slow() const { return slow_; }
    /// Updates is_slow(); returns whether it changed.
    bool update_slow(double latency_ratio) {
        const bool slow = latency_ratio > (slow_ ? kNormalRatio : kSlowRatio);
        const bool changed = slow != slow_;
        slow_ = slow;
        return changed;
    }

    void clear_fleet_evidence() {
        fleet_ = {};
        withdrawn_ = false;
    }
    /// Another process runs under the same endpoint id: clears the evidence about the previous process.
    void reset() {
        successes_ = failures_ = 0;
        slow_ = false;
        clear_fleet_evidence();
    }

private:
    EndpointEvidence fleet_{};
    bool withdrawn_ = false;
    double successes_ = 0, failures_ = 0;
    Millis counted_at_ = 0, published_at_ = -kRefreshInterval;
    bool slow_ = false;
};

}  // namespace ochregrade::detail
