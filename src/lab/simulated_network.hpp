/// @file
/// Replicas of the shared state on a simulated clock and network, from one seed: for model checks by the
/// thousand and for figures at sizes and loss rates that take real processes minutes. What a real network
/// does to datagrams it does too: loss, delay (which reorders), duplicates, partitions one way or both; and
/// to processes: SIGKILL, a later start, SIGSTOP. Times are in milliseconds.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "replication/replica.hpp"

namespace ochregrade::lab {

struct Network {
    double loss = 0;                    // share of datagrams
    double duplicate = 0;               // share delivered twice
    double least_ms = 1, most_ms = 26;  // delay of each, drawn evenly: the platform's own range
};

class SimFleet {
public:
    using Millis = replication::Millis;
    SimFleet(std::size_t members, std::uint64_t seed, const Network& network,
             replication::Options options = {});

    void start_all();           // each at a time of its own within the first 100 ms
    void start(std::size_t i);  // a new process, of the next incarnation
    void kill(std::size_t i);
    void pause(std::size_t i);  // datagrams wait in its socket meanwhile, up to a bound
    void resume(std::size_t i);
    /// Cuts these members off from the others; `inbound`: they receive nothing, `outbound`: they reach none.
    void cut(const std::vector<std::size_t>& side, bool inbound, bool outbound);
    void heal();
    Network& network() { return network_; }
    /// How far a member's clock is off when it starts from now on.
    void set_clock_offset(std::size_t i, Millis offset) { members_[i].offset = offset; }

    void run_until(Millis until);
    void run_for(Millis span) { run_until(now_ + span); }
    /// Runs until `done` returns true or `at_most` is over; asks every `poll_interval`. Returns whether it
    /// was done.
    bool run_until(const std::function<bool()>& done, Millis at_most, Millis poll_interval = 10);

    /// Publishes what a member observed of a server, or the versions that it acts on.
    void publish(std::size_t i, replication::EndpointKey server, const replication::Evidence& evidence);
    void publish(std::size_t i, const replication::Versions& versions);
    /// As if `from` had sent these bytes, whatever they are.
    void inject(std::size_t from, std::size_t to, const replication::Bytes& bytes);

    bool up(std::size_t i) const { return members_[i].replica != nullptr && !members_[i].paused; }
    const replication::Replica& at(std::size_t i) const { return *members_[i].replica; }
    std::size_t size() const { return members_.size(); }
    Millis now() const { return now_; }
    /// Whether all running members have the same state.
    bool agree() const;
    std::uint64_t datagrams() const { return datagrams_; }
    std::uint64_t bytes() const { return bytes_; }
    /// Called for each datagram that is sent.
    std::function<void(std::size_t from, std::size_t to, const replication::Bytes&)> on_send;

private:
    struct Member {
        std::unique_ptr<replication::Replica> replica;
        std::uint32_t starts = 0;
        bool paused = false, cut_in = false, cut_out = false;
        std::vector<std::pair<std::size_t, replication::Bytes>> socket;  // while paused
        Millis wake_up_at = -1;  // the wake-up that is scheduled; -1: none
        Millis offset = 0;
    };
    struct Event {
        Millis at = 0;
        std::uint64_t order = 0;
        std::size_t to = 0, from = 0;
        std::uint32_t start = 0;  // of the receiver, for a wake-up
        bool wake = false;
        replication::Bytes bytes{};
        bool operator>(const Event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    void push(Event event);
    /// Sends what a replica has put out and schedules its next wake-up.
    void send_and_schedule(std::size_t i, std::vector<replication::Outgoing>& out);
    void deliver(Event& event);
    Millis clock(std::size_t i) const { return now_ + members_[i].offset; }

    std::vector<Member> members_;
    Network network_;
    replication::Options options_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    Millis now_ = 1.7e12;  // Unix ms, as the sidecar's clock has it
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t datagrams_ = 0, bytes_ = 0;
};

}  // namespace ochregrade::lab
