// Suspicion of one endpoint: an exponentially decaying count of failed attempts, this sidecar's own and those
// that peers report by gossip. The time constant of the decay is kEjectionBackoff. Source: SWIM's suspicion.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/ejection_state.hpp"

namespace ochregrade::detail {

/// Upper bound of the suspicion, in failures, so that a suspected endpoint is still drawn occasionally.
constexpr double kMaxSuspicion = 8;

class Suspicion {
public:
    /// The decayed count at the given time, in failures.
    double at(Millis now) const {
        if (count_ == 0) return 0;  // avoids std::exp for most endpoints
        return count_ * std::exp((updated_at_ - now) / kEjectionBackoff);
    }

    void add_failure(Millis now) { update(now, 1, 1); }
    void halve(Millis now) { update(now, 0.5, 0); }

private:
    void update(Millis now, double factor, double increment) {
        count_ = std::min(kMaxSuspicion, at(now) * factor + increment);
        updated_at_ = now;
    }

    double count_ = 0;
    Millis updated_at_ = 0;
};

}  // namespace ochregrade::detail
