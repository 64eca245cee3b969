/// @file
/// Executes an experiment's faults on their schedule: on the sidecars' processes, the fake servers, discovery
/// and the datagram relay. Every choice of who is hit is drawn from the experiment's seed and the fault's
/// number, so it doesn't depend on timing.
#pragma once

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "lab/clients.hpp"
#include "lab/event_log.hpp"
#include "lab/experiment.hpp"
#include "lab/fake_discovery.hpp"
#include "lab/fake_servers.hpp"
#include "lab/relay.hpp"
#include "lab/sidecar_config.hpp"
#include "lab/sidecar_fleet.hpp"
#include "lab/timing.hpp"

namespace ochregrade::lab {

/// How long sidecars get to end after SIGTERM before SIGKILL: they finish what they have in flight first.
constexpr std::chrono::seconds kStopGrace{6};

class FaultExecutor {
public:
    /// What faults act on. All of it must outlive the executor.
    struct Targets {
        SidecarFleet& fleet;
        SidecarConfigs& configs;
        Clients& clients;
        FakeServers& servers;
        FakeDiscovery& discovery;
        Relay& relay;
    };
    /// `experiment` and `events` must outlive the executor, and it the run of its io_context.
    FaultExecutor(const Experiment& experiment, const Targets& targets, EventLog& events)
        : experiment_(experiment), targets_(targets), events_(events) {}

    /// Starts a coroutine for each fault; times count from `start`.
    void schedule(boost::asio::io_context& io, Clock::time_point start);

    int completed() const { return completed_; }
    /// Faults that could not be executed (a port that can't be bound again, say); the run goes on without
    /// them.
    int failed() const { return failed_; }

private:
    using Task = boost::asio::awaitable<void>;
    struct ActiveFault {
        const Fault& fault;
        std::size_t number;  // in the experiment
        std::mt19937_64 random;
    };

    Task run(const Fault& fault, std::size_t number, Clock::time_point start);
    Task execute(ActiveFault& active);
    Task wait_until_over(const ActiveFault& active);
    static std::vector<int> choose(ActiveFault& active, int count);
    static nlohmann::json event(const char* kind, const ActiveFault& active);
    // Logs that the fault has begun, with more fields than its kind and number.
    void announce(const ActiveFault& active, const nlohmann::json& fields = nlohmann::json::object());

    // Faults of the sidecars' processes.
    Task kill_sidecars(ActiveFault& active);
    Task stop_sidecars(ActiveFault& active);
    Task restart_fleet(ActiveFault& active);
    Task change_settings(ActiveFault& active);
    Task terminate(std::vector<int> sidecars);
    void restart_sidecars(const std::vector<int>& sidecars);
    bool any_running(const std::vector<int>& sidecars) const;

    // Faults of the servers.
    Task degrade_servers(ActiveFault& active);
    Task lose_zone(ActiveFault& active);
    Task drain_servers(ActiveFault& active);
    Task replace_servers(ActiveFault& active);

    // Faults of discovery.
    Task fail_discovery(ActiveFault& active);
    Task restart_discovery(ActiveFault& active);
    Task stall_watches(ActiveFault& active);
    Task silence_watches(ActiveFault& active);

    // Faults of the network between sidecars.
    Task partition_peers(ActiveFault& active);
    Task lose_datagrams(ActiveFault& active);

    const Experiment& experiment_;
    Targets targets_;
    EventLog& events_;
    int completed_ = 0;
    int failed_ = 0;
};

}  // namespace ochregrade::lab
