/// @file
/// All fake servers of a run, and the list of them that discovery has: zones, draining servers, restarts and
/// releases.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/fake_discovery.hpp"
#include "lab/fake_server.hpp"
#include "lab/recorder.hpp"

namespace ochregrade::lab {

class FakeServers {
public:
    /// The references must outlive it.
    FakeServers(boost::asio::io_context& io, const Experiment& experiment, Recorder& recorder,
                FakeDiscovery& discovery)
        : io_(io), experiment_(experiment), recorder_(recorder), discovery_(discovery) {}

    /// Starts every server, at a speed drawn from the experiment's seed.
    void start();
    /// Makes the servers as they are now discovery's list.
    void publish();

    void set_mode(const std::vector<int>& servers, ServerMode mode);
    /// Publishes, too.
    void set_draining(const std::vector<int>& servers, bool draining);
    /// Stops the servers of a zone; returns which.
    std::vector<int> stop_zone(const std::string& zone);
    /// Starts stopped servers, cold, and publishes them with their new start time.
    void restart(const std::vector<int>& servers);
    /// A release: in each step new servers start cold under new names, and those that they replace drain
    /// until the next step and are then gone. Ends after `for_s` seconds and one step.
    boost::asio::awaitable<void> replace(std::vector<int> servers, double for_s);

private:
    struct Slot {
        std::shared_ptr<FakeServer> server;
        int generation = 0;  // how often it was replaced
        bool draining = false;
        std::int64_t started_at_ms = 0;  // Unix; 0: at the start of the run
    };
    Slot& slot(int index) { return slots_[static_cast<std::size_t>(index)]; }
    void replace_one(int index);
    void stop_replaced();
    nlohmann::json endpoint(const Slot& slot) const;

    boost::asio::io_context& io_;
    const Experiment& experiment_;
    Recorder& recorder_;
    FakeDiscovery& discovery_;
    std::vector<Slot> slots_;     // by server
    std::vector<Slot> replaced_;  // in the last step of a release
};

}  // namespace ochregrade::lab
