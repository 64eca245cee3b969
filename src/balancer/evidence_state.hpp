// Evidence about one endpoint: this sidecar's own recent outcomes (decaying counts), the reports of the other
// sidecars, and the time of this sidecar's last report. SharedEvidence acts on it. Times are milliseconds.
#pragma once

#include <cmath>
#include <cstdint>

#include "balancer/latency_ratio.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

/// Number of direct reporters whose reports are acted on.
constexpr std::uint32_t kEvidenceQuorum = 3;
/// Time constant of the decaying counts: after this time an outcome has about a third (1/e) of its weight
/// left.
constexpr Millis kEvidenceDecay = 5000;
/// Evidence that has not changed is published again after this time.
constexpr Millis kRefreshInterval = 5000;
/// The latency ratio above which an endpoint becomes slow, and the one down to which it stays slow.
constexpr double kSlowRatio = 1, kNormalRatio = 0.8;

class EvidenceState {
public:
    /// The sum of the other sidecars' reports.
    const EndpointEvidence& fleet() const { return fleet_; }
    void set_fleet(const EndpointEvidence& evidence) { fleet_ = evidence; }
    bool is_reported_failing() const { return fleet_.reporters > 0; }
    bool is_reported_slow() const {
        return fleet_.latency_reporters >= kEvidenceQuorum && fleet_.latency_ratio > kSlowRatio;
    }

    /// Whether the endpoint is draining or removed on the lists of other sidecars; it then gets no new
    /// request.
    bool is_withdrawn() const { return withdrawn_; }
    void set_withdrawn(bool withdrawn) { withdrawn_ = withdrawn; }

    /// This sidecar's own recent outcomes, as of the last decay. Late responses do not count as failures.
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
