// ochregrade: the decision library of a load-balancing sidecar. It performs no I/O and reads no clock.
//
// One Balancer serves one sidecar. The host passes every event (events.hpp) in order, with the time at which
// the event happened, and carries out the actions (actions.hpp) that the Balancer appends, in their order and
// at the same time. Times are milliseconds on any monotonic clock. The same settings (settings.hpp), seed and
// events give the same actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "ochregrade/actions.hpp"
#include "ochregrade/events.hpp"
#include "ochregrade/settings.hpp"

namespace ochregrade {

class Balancer {
public:
    /// Throws std::invalid_argument if a setting is invalid; the message names the first invalid setting.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Appends the actions to `actions`. events.hpp says which events have no effect.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// Current numbers of requests, endpoints and timers, which determine the memory use of this instance.
    struct Usage {
        std::size_t requests = 0, endpoints = 0, timers = 0;
        std::size_t ejected = 0;  ///< listed endpoints that are ejected or in their half-open trial
    };
    Usage usage() const;

    /// The state to restore in the next run (see StateRestored), in the order of the endpoints' ids.
    std::vector<EndpointSnapshot> snapshot() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace ochregrade
