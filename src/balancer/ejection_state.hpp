// Ejection state of one endpoint: the window of its last outcomes, and whether it is available, ejected or
// half-open. OutlierDetection decides when the state changes. Times are milliseconds.
//
// Source: io.l5d.successRate, Linkerd's success-rate failure accrual, with the constants that its authors
// published; the half-open trial is that of a circuit breaker.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>

#include "ochregrade/settings.hpp"

namespace ochregrade::detail {

/// Number of outcomes in a full window.
constexpr int kOutcomeWindow = 20;
/// Highest value of OutlierDetection::outlier_threshold(): an endpoint is an outlier only if the success
/// share of its window is below this.
constexpr double kSuccessThreshold = 0.9;
/// Time from an ejection until the half-open trial may start.
constexpr Millis kEjectionBackoff = 10000;

class EjectionState {
public:
    bool is_available() const { return health_ == Health::available; }
    bool is_ejected() const { return health_ == Health::ejected; }
    bool is_half_open() const { return health_ == Health::half_open; }
    /// Whether the backoff has expired, so that the endpoint's next request is its half-open trial.
    bool is_trial_due(Millis now) const { return is_ejected() && now >= backoff_until_; }
    bool is_ejected_by_fleet() const { return ejected_by_fleet_; }
    Millis backoff_until() const { return backoff_until_; }

    int successes() const { return std::popcount(window_); }
    int outcomes() const { return outcomes_; }  ///< in the window

    void record(bool success) {
        window_ = (window_ << 1 | (success ? 1 : 0)) & ((1u << kOutcomeWindow) - 1);
        outcomes_ = std::min(outcomes_ + 1, kOutcomeWindow);
    }
    /// by_fleet: ejected on the evidence of other sidecars alone.
    void eject(Millis until, bool by_fleet) {
        health_ = Health::ejected;
        backoff_until_ = until;
        ejected_by_fleet_ = by_fleet;
    }
    void set_backoff_until(Millis until) { backoff_until_ = until; }
    void start_trial() { health_ = Health::half_open; }
    /// The half-open trial was cancelled or not sent: the endpoint's next request is another trial.
    void abandon_trial() { health_ = Health::ejected; }
    /// Makes the endpoint available with an empty window.
    void reset() {
        health_ = Health::available;
        window_ = 0;
        outcomes_ = 0;
    }

private:
    enum class Health { available, ejected, half_open };

    Health health_ = Health::available;
    std::uint32_t window_ = 0;  // one bit per outcome, the latest in bit 0; set for success
    int outcomes_ = 0;
    Millis backoff_until_ = 0;
    bool ejected_by_fleet_ = false;
};

}  // namespace ochregrade::detail
