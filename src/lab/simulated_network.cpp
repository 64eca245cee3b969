#include "lab/simulated_network.hpp"

#include <algorithm>

namespace ochregrade::lab {

namespace {
constexpr std::size_t kReceiveBuffer =
    800;  // datagrams a paused process's receive buffer holds; the rest is lost
}

SimFleet::SimFleet(std::size_t members, std::uint64_t seed, const Network& network,
                   replication::Options options)
    : members_(members), network_(network), options_(options), seed_(seed), random_(seed) {}

void SimFleet::start_all() {
    std::uniform_real_distribution<double> spread(0, 100);
    std::vector<std::pair<double, std::size_t>> order;
    for (std::size_t i = 0; i < members_.size(); ++i) order.emplace_back(now_ + spread(random_), i);
    std::sort(order.begin(), order.end());
    for (const auto& [at, i] : order) {
        run_until(at);
        start(i);
    }
}

void SimFleet::start(std::size_t i) {
    Member& member = members_[i];
    member.socket.clear();
    member.paused = false;
    member.wake_up_at = -1;
    ++member.starts;
    member.replica = std::make_unique<replication::Replica>(
        static_cast<replication::MemberId>(i), members_.size(), static_cast<std::uint32_t>(clock(i) / 1000),
        seed_ * 1000003 + i * 131 + member.starts, options_);
    std::vector<replication::Outgoing> out;
    member.replica->start(clock(i), out);
    send_and_schedule(i, out);
}

void SimFleet::kill(std::size_t i) { members_[i].replica.reset(); }

void SimFleet::pause(std::size_t i) { members_[i].paused = true; }

void SimFleet::resume(std::size_t i) {
    Member& member = members_[i];
    member.paused = false;
    if (!member.replica) return;
    std::vector<replication::Outgoing> out;
    member.replica->advance(clock(i), out);
    send_and_schedule(i, out);
    const auto waiting = std::move(member.socket);
    member.socket.clear();
    for (const auto& [from, bytes] : waiting) push({now_, 0, i, from, 0, false, bytes});
}

void SimFleet::cut(const std::vector<std::size_t>& side, bool inbound, bool outbound) {
    for (const std::size_t i : side) {
        members_[i].cut_in |= inbound;
        members_[i].cut_out |= outbound;
    }
}

void SimFleet::heal() {
    for (Member& member : members_) member.cut_in = member.cut_out = false;
}

void SimFleet::push(Event event) {
    event.order = order_++;
    events_.push(std::move(event));
}

void SimFleet::send_and_schedule(std::size_t i, std::vector<replication::Outgoing>& out) {
    for (replication::Outgoing& datagram : out) {
        if (datagram.to != replication::kAllMembers) {
            inject(i, datagram.to, datagram.bytes);
            continue;
        }
        for (std::size_t to = 0; to < members_.size(); ++to)
            if (to != i) inject(i, to, datagram.bytes);
    }
    out.clear();
    Member& member = members_[i];
    const Millis due = member.replica->due() - member.offset;
    if (due == member.wake_up_at || due > 1e18) return;
    member.wake_up_at = due;
    push({std::max(due, now_), 0, i, i, member.starts, true, {}});
}

void SimFleet::inject(std::size_t from, std::size_t to, const replication::Bytes& bytes) {
    ++datagrams_;
    bytes_ += bytes.size();
    if (on_send) on_send(from, to, bytes);
    std::uniform_real_distribution<double> unit(0, 1);
    const Member& sender = members_[from];
    const Member& receiver = members_[to];
    // Members on the same side of a cut reach each other.
    const bool crosses_cut = sender.cut_in != receiver.cut_in || sender.cut_out != receiver.cut_out;
    if (crosses_cut && (sender.cut_out || receiver.cut_in)) return;
    if (unit(random_) < network_.loss) return;
    const int copies = unit(random_) < network_.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Millis delay = network_.least_ms + (network_.most_ms - network_.least_ms) * unit(random_);
        push({now_ + delay, 0, to, from, 0, false, bytes});
    }
}

void SimFleet::deliver(Event& event) {
    Member& member = members_[event.to];
    if (!member.replica) return;
    if (event.wake && event.start != member.starts) return;
    if (member.paused) {
        if (!event.wake && member.socket.size() < kReceiveBuffer)
            member.socket.emplace_back(event.from, std::move(event.bytes));
        return;
    }
    std::vector<replication::Outgoing> out;
    if (event.wake) {
        member.wake_up_at = -1;
        member.replica->advance(clock(event.to), out);
    } else {
        member.replica->receive(clock(event.to), static_cast<replication::MemberId>(event.from), event.bytes,
                                out);
    }
    send_and_schedule(event.to, out);
}

void SimFleet::run_until(Millis until) {
    while (!events_.empty() && events_.top().at <= until) {
        Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        deliver(event);
    }
    now_ = std::max(now_, until);
}

bool SimFleet::run_until(const std::function<bool()>& done, Millis at_most, Millis poll_interval) {
    const Millis end = now_ + at_most;
    while (!done()) {
        if (now_ >= end) return false;
        run_until(std::min(end, now_ + poll_interval));
    }
    return true;
}

void SimFleet::publish(std::size_t i, replication::EndpointKey server,
                       const replication::Evidence& evidence) {
    members_[i].replica->publish(clock(i), server, evidence);
    std::vector<replication::Outgoing> none;
    send_and_schedule(i, none);
}

void SimFleet::publish(std::size_t i, const replication::Versions& versions) {
    members_[i].replica->publish(clock(i), versions);
    std::vector<replication::Outgoing> none;
    send_and_schedule(i, none);
}

bool SimFleet::agree() const {
    const replication::Replica* first = nullptr;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (!up(i)) continue;
        if (!first) first = &at(i);
        if (at(i).fingerprint() != first->fingerprint()) return false;
    }
    return true;
}

}  // namespace ochregrade::lab
