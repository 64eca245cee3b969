#include "lab/simulated_network.hpp"

#include <algorithm>

namespace ochregrade::lab {

namespace {
constexpr std::size_t kSocket = 800;  // datagrams a paused process's receive buffer holds; the rest is lost
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
    Member& m = members_[i];
    m.socket.clear();
    m.paused = false;
    m.woken_for = -1;
    ++m.starts;
    m.replica = std::make_unique<replication::Replica>(static_cast<replication::MemberId>(i), members_.size(),
                                                       static_cast<std::uint32_t>(clock(i) / 1000),
                                                       seed_ * 1000003 + i * 131 + m.starts, options_);
    std::vector<replication::Outgoing> out;
    m.replica->start(clock(i), out);
    after(i, out);
}

void SimFleet::kill(std::size_t i) { members_[i].replica.reset(); }

void SimFleet::pause(std::size_t i) { members_[i].paused = true; }

void SimFleet::resume(std::size_t i) {
    Member& m = members_[i];
    m.paused = false;
    if (!m.replica) return;
    std::vector<replication::Outgoing> out;
    m.replica->advance(clock(i), out);
    after(i, out);
    const auto waiting = std::move(m.socket);
    m.socket.clear();
    for (const auto& [from, bytes] : waiting) push({now_, 0, i, from, 0, false, bytes});
}

void SimFleet::cut(const std::vector<std::size_t>& side, bool inbound, bool outbound) {
    for (const std::size_t i : side) {
        members_[i].cut_in |= inbound;
        members_[i].cut_out |= outbound;
    }
}

void SimFleet::heal() {
    for (Member& m : members_) m.cut_in = m.cut_out = false;
}

void SimFleet::push(Event event) {
    event.order = order_++;
    events_.push(std::move(event));
}

void SimFleet::after(std::size_t i, std::vector<replication::Outgoing>& out) {
    for (replication::Outgoing& o : out) {
        if (o.to != replication::kAll) {
            inject(i, o.to, std::move(o.bytes));
            continue;
        }
        for (std::size_t to = 0; to < members_.size(); ++to)
            if (to != i) inject(i, to, o.bytes);
    }
    out.clear();
    Member& m = members_[i];
    const Millis due = m.replica->due() - m.offset;
    if (due == m.woken_for || due > 1e18) return;
    m.woken_for = due;
    push({std::max(due, now_), 0, i, i, m.starts, true, {}});
}

void SimFleet::inject(std::size_t from, std::size_t to, replication::Bytes bytes) {
    ++datagrams_;
    bytes_ += bytes.size();
    if (on_send) on_send(from, to, bytes);
    std::uniform_real_distribution<double> unit(0, 1);
    const Member &a = members_[from], &b = members_[to];
    // Those on one side of a cut hear each other.
    const bool across = a.cut_in != b.cut_in || a.cut_out != b.cut_out;
    if (across && (a.cut_out || b.cut_in)) return;
    if (unit(random_) < network_.loss) return;
    const int copies = unit(random_) < network_.duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Millis delay = network_.least_ms + (network_.most_ms - network_.least_ms) * unit(random_);
        push({now_ + delay, 0, to, from, 0, false, bytes});
    }
}

void SimFleet::deliver(Event& event) {
    Member& m = members_[event.to];
    if (!m.replica) return;
    if (event.wake && event.start != m.starts) return;
    if (m.paused) {
        if (!event.wake && m.socket.size() < kSocket)
            m.socket.emplace_back(event.from, std::move(event.bytes));
        return;
    }
    std::vector<replication::Outgoing> out;
    if (event.wake) {
        m.woken_for = -1;
        m.replica->advance(clock(event.to), out);
    } else {
        m.replica->receive(clock(event.to), static_cast<replication::MemberId>(event.from), event.bytes, out);
    }
    after(event.to, out);
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

bool SimFleet::run_until(const std::function<bool()>& done, Millis at_most, Millis look) {
    const Millis end = now_ + at_most;
    while (!done()) {
        if (now_ >= end) return false;
        run_until(std::min(end, now_ + look));
    }
    return true;
}

void SimFleet::say(std::size_t i, replication::EndpointKey server, const replication::Evidence& evidence) {
    members_[i].replica->publish(clock(i), server, evidence);
    std::vector<replication::Outgoing> none;
    after(i, none);
}

void SimFleet::say(std::size_t i, const replication::Versions& versions) {
    members_[i].replica->publish(clock(i), versions);
    std::vector<replication::Outgoing> none;
    after(i, none);
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
