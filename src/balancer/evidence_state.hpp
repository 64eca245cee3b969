// Evidence about one endpoint: our own recent outcomes (decaying counts), what the other sidecars report, and
// what we published of it last. shared_evidence decides on it. Times are milliseconds.
#pragma once

#include <cmath>
#include <cstdint>

#include "balancer/latency_ratio.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

/// So many sidecars that report for themselves are believed.
constexpr std::uint32_t kEvidenceQuorum = 3;
/// In this time an outcome loses all but a third (1/e) of its weight.
constexpr Millis kEvidenceDecay = 5000;
/// Evidence that stays true is published again after this.
constexpr Millis kRefreshInterval = 5000;
/// The latency ratio from which an endpoint is reported as slow, and below which it no longer is.
constexpr double kSlowRatio = 1, kNormalRatio = 0.8;

class EvidenceState {
public:
    /// What the others report, added up.
    const EndpointEvidence& fleet() const { return fleet_; }
    void set_fleet(const EndpointEvidence& evidence) { fleet_ = evidence; }
    bool is_reported_failing() const { return fleet_.reporters > 0; }
    bool is_reported_slow() const {
        return fleet_.latency_reporters >= kEvidenceQuorum && fleet_.latency_ratio > kSlowRatio;
    }

    /// On the others' lists it drains or is gone: no new request goes to it.
    bool is_withdrawn() const { return withdrawn_; }
    void set_withdrawn(bool withdrawn) { withdrawn_ = withdrawn; }

    /// Our own recent outcomes, as of the last decay; failures are errors, not late answers.
    double successes() const { return successes_; }
    double failures() const { return failures_; }
    void count(Millis now, double successes, double failures) {
        const double remaining = std::exp((counted_at_ - now) / kEvidenceDecay);
        successes_ = successes_ * remaining + successes;
        failures_ = failures_ * remaining + failures;
        counted_at_ = now;
    }
    void decay(Millis now) { count(now, 0, 0); }
    void forget_successes() { successes_ = 0; }
    void forget_failures() { failures_ = 0; }

    Millis published_at() const { return published_at_; }
    void set_published_at(Millis now) { published_at_ = now; }

    bool is_slow() const { return slow_; }
    /// Whether the endpoint has become slow, or normal, by this.
    bool update_slow(double latency_ratio) {
        const bool slow = latency_ratio > (slow_ ? kNormalRatio : kSlowRatio);
        const bool changed = slow != slow_;
        slow_ = slow;
        return changed;
    }

    void forget_fleet() {
        fleet_ = {};
        withdrawn_ = false;
    }
    /// Another process runs under the same id: what was seen of the former one says nothing.
    void reset() {
        successes_ = failures_ = 0;
        slow_ = false;
        forget_fleet();
    }

private:
    EndpointEvidence fleet_{};
    bool withdrawn_ = false;
    double successes_ = 0, failures_ = 0;
    Millis counted_at_ = 0, published_at_ = -kRefreshInterval;
    bool slow_ = false;
};

}  // namespace ochregrade::detail
