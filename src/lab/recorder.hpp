/// @file
/// What a run of the lab counts, by second: requests and connections per server, outcomes per sidecar, calls
/// of discovery and datagrams. Seconds count from the start of load; what happens before is left out of them.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "lab/timing.hpp"

namespace ochregrade::lab {

/// How a client's request ended.
enum class Outcome {
    served,
    rejected,     ///< 429 or 503, after the client's retries
    failed,       ///< another status, or a wrong body
    lost,         ///< no answer by the deadline, or the connection broke
    unreachable,  ///< the sidecar was down, or the client's connection limit reached
};
constexpr int kOutcomeCount = 5;
/// The outcome's name in reports.
std::string_view to_string(Outcome outcome);

/// A count for each outcome.
class OutcomeCounts {
public:
    std::uint64_t& operator[](Outcome outcome) { return counts_[static_cast<std::size_t>(outcome)]; }
    std::uint64_t operator[](Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }
    std::uint64_t total() const;
    /// In the order of the enumeration.
    const std::array<std::uint64_t, kOutcomeCount>& all() const { return counts_; }

private:
    std::array<std::uint64_t, kOutcomeCount> counts_{};
};

class Recorder {
public:
    /// `seconds`: how long load lasts; later events count in the last second.
    Recorder(int servers, int sidecars, double seconds, int classes = 1);

    void start(Clock::time_point time) { start_ = time; }
    /// At the end of a run: a server that is still not live is marked so to the last second.
    void finish();

    void server_request(int server, int sidecar);
    void server_connection(int server);
    void server_speed(int server, double speed) { servers_[static_cast<std::size_t>(server)].speed = speed; }
    /// Whether it is up and sound; one that isn't is not an idle server.
    void server_live(int server, bool live);
    /// It is cold again: the first request of each sidecar to it is counted from now on.
    void server_restarted(int server);
    void outcome(int sidecar, Outcome outcome, double latency_ms, int load_class = 0);
    void discovery_call();
    void datagram(std::size_t bytes, bool dropped);

    struct Server {
        std::vector<std::uint32_t> requests;           ///< per second
        std::vector<std::uint32_t> connections;        ///< per second
        std::vector<std::uint32_t> first_senders;      ///< per second: sidecars new to it since it restarted
        std::vector<std::uint8_t> live;                ///< per second: 1 if live throughout
        std::vector<std::int32_t> last_sender_second;  ///< per sidecar, -1: never
        std::vector<std::uint32_t> from_sidecar;       ///< per sidecar: requests of the whole run
        double speed = 1;                              ///< its capacity against a server of speed 1
        bool live_now = true;
        int down_since = -1;  ///< the second it stopped being live in, while it is not
        bool restarted = false;
        std::vector<std::uint8_t> sent_since_restart;  ///< per sidecar
    };
    struct Sidecar {
        OutcomeCounts outcomes;
        double latency_sum_ms = 0;  ///< of served requests
    };
    struct Class {
        OutcomeCounts outcomes;
    };
    struct Second {
        OutcomeCounts outcomes;
        std::uint64_t discovery_calls = 0;
        std::uint64_t datagrams = 0;
        std::uint64_t datagram_bytes = 0;
        std::uint64_t datagrams_dropped = 0;
    };

    const std::vector<Server>& servers() const { return servers_; }
    const std::vector<Sidecar>& sidecars() const { return sidecars_; }
    const std::vector<Second>& seconds() const { return seconds_; }
    const std::vector<Class>& classes() const { return classes_; }  ///< in the experiment's order
    int length() const { return static_cast<int>(seconds_.size()); }

private:
    /// The second of the run that it is now; -1 before the start, the last second after the end.
    int current_second() const;
    /// Counts of the current second; null before the start.
    Second* current();

    Clock::time_point start_ = Clock::time_point::max();
    std::vector<Server> servers_;
    std::vector<Sidecar> sidecars_;
    std::vector<Second> seconds_;
    std::vector<Class> classes_;
};

}  // namespace ochregrade::lab
