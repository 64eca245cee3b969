#include "lab/fault_executor.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <numeric>
#include <stdexcept>

namespace ochregrade::lab {

namespace asio = boost::asio;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeedFactor = 0x2545F4914F6CDD1DULL;
constexpr int kRestartGroups = 10;
constexpr auto kEndPollInterval = 20ms;

}  // namespace

void FaultExecutor::schedule(asio::io_context& io, Clock::time_point start) {
    for (std::size_t i = 0; i < experiment_.faults.size(); ++i)
        asio::co_spawn(io, run(experiment_.faults[i], i, start), asio::detached);
}

FaultExecutor::Task FaultExecutor::run(const Fault& fault, std::size_t number, Clock::time_point start) {
    ActiveFault active{fault, number, std::mt19937_64(experiment_.seed * kSeedFactor + number)};
    try {
        co_await sleep_until(start + from_seconds(fault.at_s));
        co_await execute(active);
        ++completed_;
        events_.write(event("fault_over", active));
    } catch (const std::exception& error) {
        json failure = event("fault_failed", active);
        failure["error"] = error.what();
        events_.write(failure);
        ++failed_;
    }
}

FaultExecutor::Task FaultExecutor::execute(ActiveFault& active) {
    switch (active.fault.kind) {
        case FaultKind::kill:
            return kill_sidecars(active);
        case FaultKind::stop:
            return stop_sidecars(active);
        case FaultKind::restart:
            return restart_fleet(active);
        case FaultKind::servers:
            return degrade_servers(active);
        case FaultKind::zone:
            return lose_zone(active);
        case FaultKind::discovery:
            return fail_discovery(active);
        case FaultKind::partition:
            return partition_peers(active);
        case FaultKind::loss:
            return lose_datagrams(active);
        case FaultKind::drain:
            return drain_servers(active);
        case FaultKind::anew:
            return restart_discovery(active);
        case FaultKind::stall:
            return stall_watches(active);
        case FaultKind::silence:
            return silence_watches(active);
        case FaultKind::replace:
            return replace_servers(active);
        case FaultKind::settings:
            return change_settings(active);
    }
    throw std::logic_error("unknown kind of fault");
}

FaultExecutor::Task FaultExecutor::wait_until_over(const ActiveFault& active) {
    co_await sleep_until(Clock::now() + from_seconds(active.fault.for_s));
}

// The fault's share of `count` indices, in ascending order; at least one where the share is above 0.
std::vector<int> FaultExecutor::choose(ActiveFault& active, int count) {
    const double share = active.fault.share;
    std::vector<int> indices(static_cast<std::size_t>(count));
    std::iota(indices.begin(), indices.end(), 0);
    std::shuffle(indices.begin(), indices.end(), active.random);
    const auto rounded = static_cast<std::size_t>(std::lround(share * count));
    const std::size_t chosen = share <= 0 ? 0 : std::max<std::size_t>(1, rounded);
    indices.resize(std::min(indices.size(), chosen));
    std::sort(indices.begin(), indices.end());
    return indices;
}

json FaultExecutor::event(const char* kind, const ActiveFault& active) {
    return {{"event", kind}, {"kind", to_string(active.fault.kind)}, {"number", active.number}};
}

void FaultExecutor::announce(const ActiveFault& active, const json& fields) {
    json begun = event("fault", active);
    begun.update(fields);
    events_.write(begun);
}

FaultExecutor::Task FaultExecutor::kill_sidecars(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.sidecars);
    for (const int sidecar : chosen) {
        targets_.fleet.expect_end(sidecar);
        targets_.fleet.signal(sidecar, SIGKILL);
    }
    announce(active, {{"sidecars", chosen}});
    co_await wait_until_over(active);
    restart_sidecars(chosen);
}

FaultExecutor::Task FaultExecutor::stop_sidecars(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.sidecars);
    for (const int sidecar : chosen) targets_.fleet.signal(sidecar, SIGSTOP);
    announce(active, {{"sidecars", chosen}});
    co_await wait_until_over(active);
    for (const int sidecar : chosen) targets_.fleet.signal(sidecar, SIGCONT);
}

FaultExecutor::Task FaultExecutor::restart_fleet(ActiveFault& active) {
    announce(active);
    for (int first = 0; first < kRestartGroups; ++first) {
        std::vector<int> group;
        for (int i = first; i < experiment_.sidecars; i += kRestartGroups) group.push_back(i);
        co_await terminate(group);
        restart_sidecars(group);
        co_await wait_until_over(active);
    }
}

// SIGTERM, and SIGKILL to those that still run after the grace.
FaultExecutor::Task FaultExecutor::terminate(std::vector<int> sidecars) {
    for (const int sidecar : sidecars) {
        targets_.fleet.expect_end(sidecar);
        targets_.fleet.signal(sidecar, SIGTERM);
    }
    const Clock::time_point latest = Clock::now() + kStopGrace;
    for (targets_.fleet.reap(); any_running(sidecars) && Clock::now() <= latest; targets_.fleet.reap())
        co_await sleep_until(Clock::now() + kEndPollInterval);
    for (const int sidecar : sidecars) targets_.fleet.signal(sidecar, SIGKILL);
}

bool FaultExecutor::any_running(const std::vector<int>& sidecars) const {
    return std::any_of(sidecars.begin(), sidecars.end(),
                       [this](int sidecar) { return targets_.fleet.running(sidecar); });
}

void FaultExecutor::restart_sidecars(const std::vector<int>& sidecars) {
    for (const int sidecar : sidecars) {
        targets_.fleet.reap();
        targets_.clients.forget_connections(sidecar);
        targets_.fleet.start(sidecar);
    }
}

FaultExecutor::Task FaultExecutor::change_settings(ActiveFault& active) {
    targets_.configs.raise_epoch(active.fault.rollout);
    for (int i = 0; i < experiment_.sidecars; ++i) targets_.fleet.rewrite_config(i);
    const std::vector<int> chosen = choose(active, experiment_.sidecars);
    announce(active, {{"epoch", targets_.configs.epoch()}, {"rollout", targets_.configs.rollout_share()}});
    for (const int sidecar : chosen) targets_.fleet.signal(sidecar, SIGHUP);
    co_return;
}

FaultExecutor::Task FaultExecutor::degrade_servers(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.servers);
    targets_.servers.set_mode(chosen, active.fault.mode);
    announce(active, {{"servers", chosen}});
    if (active.fault.for_s <= 0) co_return;  // to the end of the run
    co_await wait_until_over(active);
    targets_.servers.set_mode(chosen, ServerMode::ok);
}

FaultExecutor::Task FaultExecutor::lose_zone(ActiveFault& active) {
    const std::vector<int> stopped = targets_.servers.stop_zone(active.fault.zone);
    announce(active, {{"servers", stopped}});
    co_await wait_until_over(active);
    targets_.servers.restart(stopped);
}

FaultExecutor::Task FaultExecutor::drain_servers(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.servers);
    targets_.servers.set_draining(chosen, true);
    announce(active, {{"draining", chosen}});
    co_await wait_until_over(active);
    targets_.servers.set_draining(chosen, false);
}

FaultExecutor::Task FaultExecutor::replace_servers(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.servers);
    announce(active, {{"replaced", chosen}});
    co_await targets_.servers.replace(chosen, active.fault.for_s);
}

FaultExecutor::Task FaultExecutor::fail_discovery(ActiveFault& active) {
    targets_.discovery.set_down(true);
    announce(active);
    co_await wait_until_over(active);
    targets_.discovery.set_down(false);
}

FaultExecutor::Task FaultExecutor::restart_discovery(ActiveFault& active) {
    targets_.discovery.restart();
    targets_.servers.publish();
    announce(active);
    co_return;
}

FaultExecutor::Task FaultExecutor::stall_watches(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.sidecars);
    targets_.discovery.stall(chosen);
    announce(active, {{"stalled", chosen}});
    co_await wait_until_over(active);
    targets_.discovery.stall({});
}

FaultExecutor::Task FaultExecutor::silence_watches(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.sidecars);
    targets_.discovery.silence(chosen);
    announce(active, {{"silent", chosen}});
    co_return;
}

FaultExecutor::Task FaultExecutor::partition_peers(ActiveFault& active) {
    const std::vector<int> chosen = choose(active, experiment_.sidecars);
    targets_.relay.cut(chosen, active.fault.inbound, active.fault.outbound);
    announce(active, {{"sidecars", chosen}});
    co_await wait_until_over(active);
    targets_.relay.heal();
}

FaultExecutor::Task FaultExecutor::lose_datagrams(ActiveFault& active) {
    const double loss_before = targets_.relay.loss();
    targets_.relay.set_loss(active.fault.probability);
    announce(active);
    co_await wait_until_over(active);
    targets_.relay.set_loss(loss_before);
}

}  // namespace ochregrade::lab
