#include "lab/record.hpp"

#include <algorithm>
#include <cinttypes>
#include <cmath>
#include <cstdio>

namespace ochregrade::lab {

const char* outcome_name(Outcome outcome) {
    static const char* const kNames[kOutcomeCount] = {"served", "refused", "failed", "lost", "unreachable"};
    return kNames[static_cast<int>(outcome)];
}

// 16 hex digits, as clients send them: the sidecar in the top 20 bits, a serial below.
std::string correlation_id(int sidecar, std::uint64_t serial) {
    char text[17];
    std::snprintf(text, sizeof text, "%016" PRIx64,
                  (static_cast<std::uint64_t>(sidecar) << 44) | (serial & ((std::uint64_t{1} << 44) - 1)));
    return text;
}

int sidecar_of(const std::string& id) {
    if (id.size() != 16) return -1;
    std::uint64_t value = 0;
    for (const char c : id) {
        const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        if (digit < 0) return -1;
        value = value * 16 + static_cast<std::uint64_t>(digit);
    }
    return static_cast<int>(value >> 44);
}

Recorder::Recorder(int servers, int sidecars, double seconds, int classes)
    : servers_(static_cast<std::size_t>(servers)),
      sidecars_(static_cast<std::size_t>(sidecars)),
      seconds_(static_cast<std::size_t>(std::ceil(seconds))),
      classes_(static_cast<std::size_t>(classes)) {
    for (Server& s : servers_) {
        s.requests.assign(seconds_.size(), 0);
        s.connections.assign(seconds_.size(), 0);
        s.first_senders.assign(seconds_.size(), 0);
        s.live.assign(seconds_.size(), 1);
        s.last_sender_second.assign(sidecars_.size(), -1);
        s.from_sidecar.assign(sidecars_.size(), 0);
        s.sent_since_cold.assign(sidecars_.size(), 0);
    }
}

int Recorder::second(Clock::time_point at) const {
    if (at < start_) return -1;
    const auto index = std::chrono::duration_cast<std::chrono::seconds>(at - start_).count();
    return static_cast<int>(std::min<std::int64_t>(index, length() - 1));
}

void Recorder::server_request(int server, int sidecar) {
    Server& s = servers_[static_cast<std::size_t>(server)];
    const int t = now();
    if (sidecar >= 0 && sidecar < static_cast<int>(sidecars_.size())) {
        const auto who = static_cast<std::size_t>(sidecar);
        if (s.cold && !s.sent_since_cold[who]) {
            s.sent_since_cold[who] = 1;
            if (t >= 0) ++s.first_senders[static_cast<std::size_t>(t)];
        }
        if (t >= 0) s.last_sender_second[who] = t, ++s.from_sidecar[who];
    }
    if (t >= 0) ++s.requests[static_cast<std::size_t>(t)];
}

void Recorder::server_connection(int server) {
    const int t = now();
    if (t >= 0) ++servers_[static_cast<std::size_t>(server)].connections[static_cast<std::size_t>(t)];
}

// A second counts as live for a server only if it was live throughout: every second from the one it went
// down in to the one it came back in is marked.
void Recorder::server_live(int server, bool live) {
    Server& s = servers_[static_cast<std::size_t>(server)];
    const int t = std::max(0, now());
    if (!live && s.live_now) s.down_since = t;
    if (live && !s.live_now && s.down_since >= 0) {
        for (int i = s.down_since; i <= t; ++i) s.live[static_cast<std::size_t>(i)] = 0;
        s.down_since = -1;
    }
    s.live_now = live;
}

void Recorder::finish() {
    for (std::size_t i = 0; i < servers_.size(); ++i)
        if (!servers_[i].live_now) {
            server_live(static_cast<int>(i), true);
            servers_[i].live_now = false;
        }
}

void Recorder::server_cold(int server) {
    Server& s = servers_[static_cast<std::size_t>(server)];
    s.cold = true;
    std::fill(s.sent_since_cold.begin(), s.sent_since_cold.end(), 0);
}

void Recorder::outcome(int sidecar, Outcome outcome, double latency_ms, int kind) {
    ++classes_[static_cast<std::size_t>(kind)].outcomes[static_cast<int>(outcome)];
    Sidecar& s = sidecars_[static_cast<std::size_t>(sidecar)];
    ++s.outcomes[static_cast<int>(outcome)];
    if (outcome == Outcome::served) s.latency_sum_ms += latency_ms;
    const int t = now();
    if (t >= 0) ++seconds_[static_cast<std::size_t>(t)].outcomes[static_cast<int>(outcome)];
}

void Recorder::discovery_call() {
    const int t = now();
    if (t >= 0) ++seconds_[static_cast<std::size_t>(t)].discovery_calls;
}

void Recorder::datagram(std::size_t bytes, bool dropped) {
    const int t = now();
    if (t < 0) return;
    Second& s = seconds_[static_cast<std::size_t>(t)];
    ++s.datagrams;
    s.datagram_bytes += bytes;
    s.datagrams_dropped += dropped;
}

}  // namespace ochregrade::lab
