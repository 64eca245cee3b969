// ochregrade: the decisions of a load-balancing sidecar, without I/O and without a clock.
//
// One Balancer serves one sidecar. Feed it every event (events.hpp) in order with the time at which it
// happened and carry out the actions (actions.hpp) that it appends, in their order, at that same time. Times
// are milliseconds on any clock that never goes back. Same settings (settings.hpp), seed and events give the
// same actions.
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
    /// Throws std::invalid_argument naming the invalid setting.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Appends to actions. Events about unknown or finished things have no effect.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// Requests, endpoints and timers at present: what this instance costs in memory.
    struct Usage {
        std::size_t requests = 0, endpoints = 0, timers = 0;
        std::size_t ejected = 0;  ///< endpoints out of the pool, those on trial included
    };
    Usage usage() const;

    /// For a later lifetime, in the order of the endpoints' ids.
    std::vector<EndpointSnapshot> snapshot() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace ochregrade
