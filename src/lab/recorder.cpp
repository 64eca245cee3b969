#include "lab/recorder.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ochregrade::lab {

std::string_view to_string(Outcome outcome) {
    switch (outcome) {
        case Outcome::served:
            return "served";
        case Outcome::rejected:
            return "refused";
        case Outcome::failed:
            return "failed";
        case Outcome::lost:
            return "lost";
        case Outcome::unreachable:
            return "unreachable";
    }
    return "?";
}

std::uint64_t OutcomeCounts::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

Recorder::Recorder(int servers, int sidecars, double seconds, int classes)
    : servers_(static_cast<std::size_t>(servers)),
      sidecars_(static_cast<std::size_t>(sidecars)),
      seconds_(static_cast<std::size_t>(std::ceil(seconds))),
      classes_(static_cast<std::size_t>(classes)) {
    for (Server& server : servers_) {
        server.requests.assign(seconds_.size(), 0);
        server.connections.assign(seconds_.size(), 0);
        server.first_senders.assign(seconds_.size(), 0);
        server.live.assign(seconds_.size(), 1);
        server.last_sender_second.assign(sidecars_.size(), -1);
        server.from_sidecar.assign(sidecars_.size(), 0);
        server.sent_since_restart.assign(sidecars_.size(), 0);
    }
}

int Recorder::current_second() const {
    const Clock::time_point now = Clock::now();
    if (now < start_) return -1;
    const auto index = std::chrono::duration_cast<std::chrono::seconds>(now - start_).count();
    return static_cast<int>(std::min<std::int64_t>(index, length() - 1));
}

Recorder::Second* Recorder::current() {
    const int second = current_second();
    return second < 0 ? nullptr : &seconds_[static_cast<std::size_t>(second)];
}

void Recorder::server_request(int server_index, int sidecar) {
    Server& server = servers_[static_cast<std::size_t>(server_index)];
    const int second = current_second();
    const bool started = second >= 0;
    const auto column = static_cast<std::size_t>(std::max(0, second));
    if (sidecar >= 0 && sidecar < static_cast<int>(sidecars_.size())) {
        const auto sender = static_cast<std::size_t>(sidecar);
        if (server.restarted && server.sent_since_restart[sender] == 0) {
            server.sent_since_restart[sender] = 1;
            if (started) ++server.first_senders[column];
        }
        if (started) {
            server.last_sender_second[sender] = second;
            ++server.from_sidecar[sender];
        }
    }
    if (started) ++server.requests[column];
}

void Recorder::server_connection(int server) {
    const int second = current_second();
    if (second < 0) return;
    ++servers_[static_cast<std::size_t>(server)].connections[static_cast<std::size_t>(second)];
}

// A second counts as live for a server only if it was live throughout: every second from the one it went
// down in to the one it came back in is marked.
void Recorder::server_live(int server_index, bool live) {
    Server& server = servers_[static_cast<std::size_t>(server_index)];
    const int second = std::max(0, current_second());
    if (!live && server.live_now) server.down_since = second;
    if (live && !server.live_now && server.down_since >= 0) {
        for (int i = server.down_since; i <= second; ++i) server.live[static_cast<std::size_t>(i)] = 0;
        server.down_since = -1;
    }
    server.live_now = live;
}

void Recorder::finish() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        if (servers_[i].live_now) continue;
        server_live(static_cast<int>(i), true);
        servers_[i].live_now = false;
    }
}

void Recorder::server_restarted(int server_index) {
    Server& server = servers_[static_cast<std::size_t>(server_index)];
    server.restarted = true;
    std::fill(server.sent_since_restart.begin(), server.sent_since_restart.end(), 0);
}

void Recorder::outcome(int sidecar_index, Outcome outcome, double latency_ms, int load_class) {
    ++classes_[static_cast<std::size_t>(load_class)].outcomes[outcome];
    Sidecar& sidecar = sidecars_[static_cast<std::size_t>(sidecar_index)];
    ++sidecar.outcomes[outcome];
    if (outcome == Outcome::served) sidecar.latency_sum_ms += latency_ms;
    if (Second* second = current()) ++second->outcomes[outcome];
}

void Recorder::discovery_call() {
    if (Second* second = current()) ++second->discovery_calls;
}

void Recorder::datagram(std::size_t bytes, bool dropped) {
    Second* second = current();
    if (second == nullptr) return;
    ++second->datagrams;
    second->datagram_bytes += bytes;
    second->datagrams_dropped += dropped ? 1 : 0;
}

}  // namespace ochregrade::lab
