#include "lab/lab.hpp"

#include <sys/resource.h>

#include <boost/asio.hpp>
#include <csignal>
#include <optional>
#include <stdexcept>
#include <vector>

#include "lab/clients.hpp"
#include "lab/event_log.hpp"
#include "lab/fake_discovery.hpp"
#include "lab/fake_servers.hpp"
#include "lab/fault_executor.hpp"
#include "lab/free_port.hpp"
#include "lab/history.hpp"
#include "lab/loopback_block.hpp"
#include "lab/recorder.hpp"
#include "lab/relay.hpp"
#include "lab/report.hpp"
#include "lab/sidecar_config.hpp"
#include "lab/sidecar_fleet.hpp"
#include "lab/timing.hpp"

namespace ochregrade::lab {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kReadyPollInterval = 100ms;
constexpr auto kDrainPollInterval = 20ms;
constexpr double kDrainMarginS = 1;  // beyond the longest deadline

// The descriptors that a fleet's worth of connections needs: as many as the hard limit allows.
void raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

json process_figures(const SidecarFleet& fleet) {
    json crashes = json::array();
    for (const SidecarFleet::Crash& crash : fleet.crashes())
        crashes.push_back(
            {{"sidecar", crash.sidecar}, {"wait_status", crash.wait_status}, {"log", crash.log_tail}});
    const SidecarFleet::Counts& counts = fleet.counts();
    return {{"started", counts.started},
            {"ended_with_0", counts.exited_zero},
            {"ended_otherwise", counts.exited_other},
            {"killed", counts.killed},
            {"crashed", counts.crashed},
            {"crashes", crashes}};
}

class Run {
public:
    Run(const Experiment& experiment, const RunOptions& options, std::shared_ptr<spdlog::logger> log)
        : experiment_(experiment),
          options_(options),
          recorder_(experiment.servers, experiment.sidecars, experiment.seconds,
                    static_cast<int>(experiment.classes.size())),
          events_(std::move(log), history_),
          discovery_(io_, recorder_),
          relay_(io_, experiment, recorder_),
          child_signals_(io_, SIGCHLD),
          servers_(io_, experiment, recorder_, discovery_),
          configs_(experiment, discovery_, relay_) {}

    json execute() {
        raise_descriptor_limit();
        start_fakes();
        start_sidecars();
        reap_children_on_signal();
        asio::co_spawn(io_, run_load(), asio::detached);
        io_.run();
        fleet_->stop_all(kStopGrace);
        recorder_.finish();
        json summary = write_report(options_.out, experiment_, recorder_, run_figures());
        events_.write({{"event", "report"}, {"folder", options_.out.string()}});
        return summary;
    }

private:
    void start_fakes() {
        servers_.start();
        discovery_.start(experiment_.sidecars);
        servers_.publish();
    }

    SidecarSpec make_spec(int index) {
        const std::string address = addresses_.address(index);
        return {index, experiment_.zone_of(index), address, free_port(address, Transport::tcp),
                free_port(address, Transport::udp)};
    }

    void start_sidecars() {
        std::vector<SidecarSpec> specs;
        std::vector<asio::ip::tcp::endpoint> listen_endpoints;
        for (int i = 0; i < experiment_.sidecars; ++i) {
            const SidecarSpec spec = make_spec(i);
            const auto address = asio::ip::make_address_v4(spec.address);
            relay_.bind_peer(i, {address, spec.peer_listen});
            listen_endpoints.emplace_back(address, spec.listen);
            specs.push_back(spec);
        }
        clients_.emplace(io_, experiment_, recorder_, listen_endpoints);
        const auto make_config = [this](const SidecarSpec& sidecar, int start) {
            return configs_.make(sidecar, start);
        };
        fleet_.emplace(options_.program, options_.out / "sidecars", std::move(specs), make_config);
        faults_.emplace(experiment_,
                        FaultExecutor::Targets{*fleet_, configs_, *clients_, servers_, discovery_, relay_},
                        events_);
        events_.write(
            {{"event", "setup"}, {"servers", experiment_.servers}, {"sidecars", experiment_.sidecars}});
        for (int i = 0; i < experiment_.sidecars; ++i)
            if (!fleet_->start(i)) throw std::runtime_error("could not start " + options_.program);
    }

    void reap_children_on_signal() {
        // Handlers run only inside io_.run(), which this object outlives.
        child_signals_.async_wait([this](error_code error, int) {
            if (error) return;
            fleet_->reap();
            reap_children_on_signal();
        });
    }

    asio::awaitable<void> run_load() {
        co_await wait_until_ready();
        const Clock::time_point start = Clock::now();
        const Clock::time_point end = start + from_seconds(experiment_.seconds);
        recorder_.start(start);
        clients_->run(end);
        faults_->schedule(io_, start);
        co_await sleep_until(end);
        // What is still in flight ends by its deadline; then the fleet is stopped.
        const Clock::time_point drained = end + from_seconds(experiment_.timeout_ms / 1000 + kDrainMarginS);
        while (clients_->in_flight() > 0 && Clock::now() < drained)
            co_await sleep_until(Clock::now() + kDrainPollInterval);
        events_.write({{"event", "load_over"}, {"in_flight", clients_->in_flight()}});
        io_.stop();
    }

    // Until every sidecar is healthy, or the experiment's time for that is over.
    asio::awaitable<void> wait_until_ready() {
        const Clock::time_point began = Clock::now();
        const Clock::time_point latest = began + from_seconds(experiment_.ready_s);
        std::vector<char> ready(static_cast<std::size_t>(experiment_.sidecars), 0);
        while (ready_sidecars_ < experiment_.sidecars && Clock::now() < latest) {
            for (int i = 0; i < experiment_.sidecars; ++i) {
                char& is_ready = ready[static_cast<std::size_t>(i)];
                if (is_ready != 0) continue;
                const bool healthy = co_await clients_->is_healthy(i);
                if (!healthy) continue;
                is_ready = 1;
                ++ready_sidecars_;
            }
            if (ready_sidecars_ < experiment_.sidecars)
                co_await sleep_until(Clock::now() + kReadyPollInterval);
        }
        ready_after_s_ = to_seconds(Clock::now() - began);
        events_.write({{"event", "ready"}, {"sidecars", ready_sidecars_}, {"after_s", ready_after_s_}});
    }

    // What the summary has besides the recorder's figures.
    json run_figures() {
        for (int i = 0; i < experiment_.sidecars; ++i) history_.read_log(i, fleet_->log_path(i));
        return {{"processes", process_figures(*fleet_)},
                {"ready", {{"sidecars", ready_sidecars_}, {"after_s", ready_after_s_}}},
                {"datagrams_oversize", relay_.oversize()},
                {"faults", faults_->completed()},
                {"faults_failed", faults_->failed()},
                {"shared", history_.figures(experiment_.servers)}};
    }

    const Experiment& experiment_;
    const RunOptions& options_;
    asio::io_context io_;
    Recorder recorder_;
    History history_;
    EventLog events_;
    FakeDiscovery discovery_;
    Relay relay_;
    asio::signal_set child_signals_;
    FakeServers servers_;
    SidecarConfigs configs_;
    std::optional<Clients> clients_;
    LoopbackBlock addresses_;  // outlives the sidecars on it
    std::optional<SidecarFleet> fleet_;
    std::optional<FaultExecutor> faults_;
    int ready_sidecars_ = 0;
    double ready_after_s_ = 0;
};

}  // namespace

json run_experiment(const Experiment& experiment, const RunOptions& options,
                    std::shared_ptr<spdlog::logger> log) {
    Run run(experiment, options, std::move(log));
    return run.execute();
}

}  // namespace ochregrade::lab
