// Slow start: how much an endpoint that has just started may get.
//
// Input: the endpoint's start time and the settings. Output: shares of its capacity, 0 to 1 (of requests,
// where an overload factor allows it, above 1). Owns no state. Source: the platform's rules of slow start
// (slow_start_least_share rising evenly to all of it after slow_start_duration).
//
// The share is given by lot: shares drawn so add up to what the endpoint can do over any number of sidecars,
// where a minimum or a token bucket in each would be a flood from a thousand. It shrinks by our share of
// attempts that complete: a storm of retries is many times what endpoints can do.
#pragma once

#include <algorithm>

#include "balancer/attempt_statistics.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

/// Share given of the multiple that makes a cold endpoint collapse; the rest is for chance.
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
    /// Share of its capacity that it is sure to have.
    double warm_share(const EndpointRecord& endpoint) const {
        if (!is_cold(endpoint)) return 1;
        const Settings& settings = *context_.settings;
        const double age =
            std::max(0.0, context_.now - endpoint.info.started_at) / settings.slow_start_duration;
        return settings.slow_start_least_share + (1 - settings.slow_start_least_share) * std::min(1.0, age);
    }
    /// Share of our requests that it is open to; may exceed 1.
    double admitted_share(const EndpointRecord& endpoint) const {
        // While its answers come in time, more than it is sure to bear: most warm up sooner.
        const bool on_time = endpoint.latency_ratio > 0 && endpoint.latency_ratio <= kTargetLatencyRatio;
        const double multiple =
            on_time ? std::max(1.0, kOverloadFactorShare * context_.settings->slow_start_overload_factor) : 1;
        return multiple * warm_share(endpoint) * statistics_.completed_share();
    }
    /// Draws for a cold endpoint whether it may have this request.
    bool admits(const EndpointRecord& endpoint) const {
        return !is_cold(endpoint) || context_.random.unit() < admitted_share(endpoint);
    }

private:
    Context& context_;
    const AttemptStatistics& statistics_;
};

}  // namespace ochregrade::detail
