// Latency ratio: the response time divided by the latency objective of the request, without unit. It measures
// the load of an endpoint or of the load-balancing pool independently of the mix of request classes.
#pragma once

#include <algorithm>
#include <optional>

#include "ochregrade/events.hpp"

namespace ochregrade::detail {

/// The mean latency ratio that admission aims at. A higher target would make the slower responses late, a
/// lower one would leave endpoints idle.
constexpr double kTargetLatencyRatio = 0.55;
/// The latency ratio of an attempt with outcome timeout or overloaded, and the upper bound of the latency
/// ratio of all other attempts.
constexpr double kMaxLatencyRatio = 1.5;

/// Window of the exponential moving averages, in samples.
constexpr int kSmoothingWindow = 20;

/// Adds a sample to an exponential moving average. The weight of the sample is 2 / kSmoothingWindow, so that
/// about the last half window of samples determines the average.
inline void smooth(double& mean, double sample) { mean += (sample - mean) * 2 / kSmoothingWindow; }

/// The latency ratio of an attempt; none if its outcome says nothing about the load.
inline std::optional<double> latency_ratio_of(Outcome outcome, Millis duration, Millis objective) {
    if (outcome == Outcome::success) return std::min(kMaxLatencyRatio, duration / objective);
    if (outcome == Outcome::timeout || outcome == Outcome::overloaded) return kMaxLatencyRatio;
    return std::nullopt;
}

}  // namespace ochregrade::detail
