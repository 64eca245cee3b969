// Slow start: limits the requests to an endpoint that has just started.
//
// Input: the endpoint's start time and the settings. Output: the slow-start share (0 to 1) and the admission
// probability, which the overload factor can raise above 1. The module has no state of its own. Source: the
// platform's rules of slow start (the share rises linearly from slow_start_least_share to the full capacity
// after slow_start_duration).
//
// Each sidecar draws at random whether a request may go to a cold endpoint. The requests of any number of
// sidecars then add up to the endpoint's slow-start share, whereas a guaranteed minimum or a token bucket in
// each of a thousand sidecars would overload the endpoint. The admission probability is multiplied by the
// completed share of this sidecar's recent attempts: where attempts fail, the retries add up to many times
// the load that endpoints can serve.
#pragma once

#include <algorithm>

#include "balancer/attempt_statistics.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

/// Share of the overload factor that slow start uses; the rest is a margin for random variation.
constexpr double kOverloadFactorShare = 0.5;

class SlowStart {
public:
    SlowStart(Context& context, const AttemptStatistics& statistics)
        : context_(context), statistics_(statistics) {}

    bool is_cold(const EndpointRecord& endpoint) const {
        const Settings& settings = *context_.settings;
        return settings.slow_start_duration > 0 && endpoint.info.started_at > 0 &&
               context_.now < endpoint.info.started_at + settings.slow_start_duration;
    }
    /// The slow-start share, 0 to 1; 1 for an endpoint that is not cold.
    double slow_start_share(const EndpointRecord& endpoint) const {
        if (!is_cold(endpoint)) return 1;
        const Settings& settings = *context_.settings;
        const double age =
            std::max(0.0, context_.now - endpoint.info.started_at) / settings.slow_start_duration;
        return settings.slow_start_least_share + (1 - settings.slow_start_least_share) * std::min(1.0, age);
    }
    /// The admission probability; may exceed 1.
    double admission_probability(const EndpointRecord& endpoint) const {
        // An endpoint whose latency ratio is on target gets more than its slow-start share, because most
        // endpoints warm up faster than the platform's rule states.
        const bool on_time = endpoint.latency_ratio > 0 && endpoint.latency_ratio <= kTargetLatencyRatio;
        const double multiple =
            on_time ? std::max(1.0, kOverloadFactorShare * context_.settings->slow_start_overload_factor) : 1;
        return multiple * slow_start_share(endpoint) * statistics_.completed_share();
    }
    /// Whether the endpoint may have this request; drawn at random for a cold endpoint.
    bool admits(const EndpointRecord& endpoint) const {
        return !is_cold(endpoint) || context_.random.unit() < admission_probability(endpoint);
    }

private:
    Context& context_;
    const AttemptStatistics& statistics_;
};

}  // namespace ochregrade::detail
