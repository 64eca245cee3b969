// Suspicion of one endpoint: an exponentially decaying count of failed attempts, our own and those reported
// by gossip. Source: the term is SWIM's; the decay is that of an ejection's backoff.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/ejection_state.hpp"

namespace ochregrade::detail {

/// No number of failures counts for more: the endpoint is still drawn now and then.
constexpr double kMaxSuspicion = 8;

class Suspicion {
public:
    /// The count at a time, in failures.
    double at(Millis now) const {
        if (count_ == 0) return 0;  // most endpoints: spares the exponential
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
