#include "lab/fake_servers.hpp"

#include <cmath>
#include <cstdio>
#include <random>

#include "lab/timing.hpp"

namespace ochregrade::lab {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

// s-NNN, and s-NNN.G for the server that replaced it as the G-th.
std::string server_name(int index, int generation) {
    char name[32];
    if (generation > 0) {
        std::snprintf(name, sizeof name, "s-%03d.%d", index, generation);
    } else {
        std::snprintf(name, sizeof name, "s-%03d", index);
    }
    return name;
}

std::int64_t now_ms() { return std::llround(unix_ms_now()); }

}  // namespace

void FakeServers::start() {
    std::mt19937_64 random(experiment_.seed);
    std::uniform_real_distribution<double> speed(1 - experiment_.speed_spread, 1 + experiment_.speed_spread);
    for (int i = 0; i < experiment_.servers; ++i) {
        auto server = std::make_shared<FakeServer>(io_, i, speed(random), experiment_, recorder_);
        recorder_.server_speed(i, server->speed());
        server->start();
        slots_.push_back({std::move(server)});
    }
}

json FakeServers::endpoint(const Slot& slot) const {
    const FakeServer& server = *slot.server;
    return {{"host", server_name(server.index(), slot.generation)},
            {"dial", "127.0.0.1:" + std::to_string(server.port())},
            {"site", experiment_.zone_of(server.index())},
            {"class", "m"},
            {"block", 0},
            {"health", slot.draining ? "DRAINING" : "SERVING"},
            {"share", 1.0},
            {"born_ms", slot.started_at_ms}};
}

void FakeServers::publish() {
    json hosts = json::array();
    for (const Slot& slot : slots_) hosts.push_back(endpoint(slot));
    for (const Slot& slot : replaced_) hosts.push_back(endpoint(slot));
    discovery_.publish(std::move(hosts));
}

void FakeServers::set_mode(const std::vector<int>& servers, ServerMode mode) {
    for (const int index : servers) slot(index).server->set_mode(mode);
}

void FakeServers::set_draining(const std::vector<int>& servers, bool draining) {
    for (const int index : servers) slot(index).draining = draining;
    publish();
}

std::vector<int> FakeServers::stop_zone(const std::string& zone) {
    std::vector<int> stopped;
    for (const Slot& slot : slots_) {
        if (experiment_.zone_of(slot.server->index()) != zone) continue;
        slot.server->stop();
        stopped.push_back(slot.server->index());
    }
    return stopped;
}

void FakeServers::restart(const std::vector<int>& servers) {
    const std::int64_t started_at_ms = now_ms();
    for (const int index : servers) {
        slot(index).server->start();
        slot(index).started_at_ms = started_at_ms;
    }
    publish();
}

void FakeServers::stop_replaced() {
    for (const Slot& slot : replaced_) slot.server->stop();
    replaced_.clear();
}

void FakeServers::replace_one(int index) {
    Slot& current = slot(index);
    auto fresh = std::make_shared<FakeServer>(io_, index, current.server->speed(), experiment_, recorder_);
    fresh->start();
    recorder_.server_restarted(index);
    current.server->mark_replaced();
    const int generation = current.generation + 1;
    const bool draining = current.draining;
    replaced_.push_back(std::move(current));
    replaced_.back().draining = true;
    current = {std::move(fresh), generation, draining, now_ms()};
}

asio::awaitable<void> FakeServers::replace(std::vector<int> servers, double for_s) {
    constexpr std::size_t kSteps = 5;
    const Clock::time_point began = Clock::now();
    for (std::size_t step = 0; step <= kSteps; ++step) {
        stop_replaced();
        if (step < kSteps)
            for (std::size_t i = step; i < servers.size(); i += kSteps) replace_one(servers[i]);
        publish();
        const auto steps_done = static_cast<double>(step + 1);
        co_await sleep_until(began + from_seconds(for_s * steps_done / kSteps));
    }
}

}  // namespace ochregrade::lab
