// Latency ratio: the time of an answer divided by the latency objective of its request, without unit. The
// common measure of how loaded an endpoint or the pool is, whatever the mix of request classes.
#pragma once

#include <algorithm>
#include <optional>

#include "ochregrade/events.hpp"

namespace ochregrade::detail {

/// Admission aims at a mean answer in this share of its objective: more makes the slower answers late, less
/// leaves endpoints idle.
constexpr double kTargetLatencyRatio = 0.55;
/// A timeout or an overloaded endpoint counts as this much, and no answer counts for more.
constexpr double kMaxLatencyRatio = 1.5;

/// Samples in a window of a running mean.
constexpr int kSmoothingWindow = 20;

/// A running mean in which about the last half window of samples counts.
inline void smooth(double& mean, double sample) { mean += (sample - mean) * 2 / kSmoothingWindow; }

/// None where the outcome says nothing about load.
inline std::optional<double> latency_ratio_of(Outcome outcome, Millis duration, Millis objective) {
    if (outcome == Outcome::success) return std::min(kMaxLatencyRatio, duration / objective);
    if (outcome == Outcome::timeout || outcome == Outcome::overloaded) return kMaxLatencyRatio;
    return std::nullopt;
}

}  // namespace ochregrade::detail
