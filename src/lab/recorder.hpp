// What a lab run counts, by second of the run: requests and connections per server, outcomes per sidecar,
// discovery calls and datagrams. Seconds count from the start of load; what happens before is left out.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace ochregrade::lab {

enum class Outcome { served, refused, failed, lost, unreachable };
constexpr int kOutcomeCount = 5;
const char* outcome_name(Outcome outcome);

// A client's correlation id carries its sidecar's number, so that a server stand-in knows who sent a request.
std::string correlation_id(int sidecar, std::uint64_t serial);
int sidecar_of(const std::string& correlation_id);  // -1 where the id is none of the lab's

class Recorder {
public:
    using Clock = std::chrono::steady_clock;
    Recorder(int servers, int sidecars, double seconds, int classes = 1);

    void start(Clock::time_point at) { start_ = at; }
    // The second of the run that `at` falls in; -1 before the start, the last second after the end.
    int second(Clock::time_point at) const;

    void server_request(int server, int sidecar);
    void server_connection(int server);
    void server_speed(int server, double speed) { servers_[static_cast<std::size_t>(server)].speed = speed; }
    void server_live(int server, bool live);  // a server that is down or faulty is no idle one
    void server_cold(int server);             // started again: first requests of each sidecar are counted
    void outcome(int sidecar, Outcome outcome, double latency_ms, int kind = 0);
    void discovery_call();
    void datagram(std::size_t bytes, bool dropped);
    // At the end of a run: a server still not live is marked so to the last second.
    void finish();

    struct Server {
        std::vector<std::uint32_t> requests, connections, first_senders;  // per second
        std::vector<std::uint8_t> live;                                   // per second: 1 if live throughout
        std::vector<std::int32_t> last_sender_second;                     // per sidecar, -1: never
        std::vector<std::uint32_t> from_sidecar;  // per sidecar: requests after the start, the whole run
        double speed = 1;                         // its capacity against a server of speed 1
        bool live_now = true;
        int down_since = -1;  // the second it last stopped being live in, while it is not
        bool cold = false;
        std::vector<std::uint8_t> sent_since_cold;  // per sidecar
    };
    struct Sidecar {
        std::uint64_t outcomes[kOutcomeCount] = {};
        double latency_sum_ms = 0;
    };
    struct Class {
        std::uint64_t outcomes[kOutcomeCount] = {};
    };
    struct Second {
        std::uint64_t outcomes[kOutcomeCount] = {};
        std::uint64_t discovery_calls = 0, datagrams = 0, datagram_bytes = 0, datagrams_dropped = 0;
    };

    const std::vector<Server>& servers() const { return servers_; }
    const std::vector<Sidecar>& sidecars() const { return sidecars_; }
    const std::vector<Second>& seconds() const { return seconds_; }
    const std::vector<Class>& classes() const { return classes_; }  // in the experiment's order
    int length() const { return static_cast<int>(seconds_.size()); }

private:
    int now() const { return second(Clock::now()); }

    Clock::time_point start_ = Clock::time_point::max();
    std::vector<Server> servers_;
    std::vector<Sidecar> sidecars_;
    std::vector<Second> seconds_;
    std::vector<Class> classes_;
};

}  // namespace ochregrade::lab
