// Many copies of the shared state on a simulated clock and network, from one seed: for model checks by the
// thousand and for figures at sizes and loss rates that take real processes minutes. What a real network does
// to datagrams it does too: loss, delay (which reorders), repeats, partitions one way or both; and to
// processes: SIGKILL, a later start, SIGSTOP.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
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

    void start_all();           // each at a moment of its own within the first 100 ms
    void start(std::size_t i);  // a fresh process, of the next life
    void kill(std::size_t i);
    void pause(std::size_t i);  // what comes meanwhile waits in its socket, up to a bound
    void resume(std::size_t i);
    // Cut off from those on the other side; `inbound`: hears nothing of them, `outbound`: reaches none.
    void cut(const std::vector<std::size_t>& side, bool inbound, bool outbound);
    void heal();
    Network& network() { return network_; }
    // A sidecar whose clock is off when it starts from now on (ms).
    void set_clock_offset(std::size_t i, Millis offset) { members_[i].offset = offset; }

    void run_until(Millis until);
    void run_for(Millis span) { run_until(now_ + span); }
    // Runs until `done` says so or the time is over; looks every `look` ms. Returns whether it was.
    bool run_until(const std::function<bool()>& done, Millis at_most, Millis look = 10);

    void say(std::size_t i, replication::EndpointKey server, const replication::Evidence& evidence);
    void say(std::size_t i, const replication::Versions& versions);
    // As if `from` had sent these bytes, whatever it is.
    void inject(std::size_t from, std::size_t to, replication::Bytes bytes);

    bool up(std::size_t i) const { return members_[i].replica != nullptr && !members_[i].paused; }
    const replication::Replica& at(std::size_t i) const { return *members_[i].replica; }
    std::size_t size() const { return members_.size(); }
    Millis now() const { return now_; }
    // Whether all that run hold the same, of all members.
    bool agree() const;
    std::uint64_t datagrams() const { return datagrams_; }
    std::uint64_t bytes() const { return bytes_; }
    // A look at each datagram that is sent.
    std::function<void(std::size_t from, std::size_t to, const replication::Bytes&)> on_send;

private:
    struct Member {
        std::unique_ptr<replication::Replica> replica;
        std::uint32_t starts = 0;
        bool paused = false, cut_in = false, cut_out = false;
        std::vector<std::pair<std::size_t, replication::Bytes>> socket;  // while paused
        Millis woken_for = -1;
        Millis offset = 0;
    };
    struct Event {
        Millis at = 0;
        std::uint64_t order = 0;
        std::size_t to = 0, from = 0;
        std::uint32_t start = 0;  // of the receiver, for a wake-up
        bool wake = false;
        replication::Bytes bytes{};
        bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    void push(Event event);
    void after(std::size_t i, std::vector<replication::Outgoing>& out);
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
