/// @file
/// Configurations of the sidecars of a run: the platform's keys, and settings whose epoch a fault may raise.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>

#include "lab/experiment.hpp"
#include "lab/fake_discovery.hpp"
#include "lab/relay.hpp"
#include "lab/sidecar_fleet.hpp"

namespace ochregrade::lab {

class SidecarConfigs {
public:
    /// The references must outlive it.
    SidecarConfigs(const Experiment& experiment, const FakeDiscovery& discovery, const Relay& relay)
        : experiment_(experiment), discovery_(discovery), relay_(relay) {}

    /// The configuration of a sidecar's start; `start` counts its starts from 0.
    nlohmann::json make(const SidecarSpec& sidecar, int start) const;

    /// New settings, for a share of the fleet, in configurations from now on.
    void raise_epoch(double rollout_share);
    std::uint32_t epoch() const { return epoch_; }
    double rollout_share() const { return rollout_share_; }

private:
    nlohmann::json settings(const SidecarSpec& sidecar) const;
    nlohmann::json classes() const;
    nlohmann::json peers() const;

    const Experiment& experiment_;
    const FakeDiscovery& discovery_;
    const Relay& relay_;
    std::uint32_t epoch_ = 1;
    double rollout_share_ = 1;
};

}  // namespace ochregrade::lab
