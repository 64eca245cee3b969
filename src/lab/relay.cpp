#include "lab/relay.hpp"

#include <boost/asio/redirect_error.hpp>

namespace ochregrade::lab {

namespace {
using boost::system::error_code;
constexpr std::size_t kLongest = 256;         // the protocol page's bound; a longer one voids a bench run
constexpr std::size_t kMostPending = 100000;  // delayed datagrams held at once; beyond that they are lost
}  // namespace

Relay::Relay(asio::io_context& io, const Experiment& experiment, Recorder& recorder)
    : io_(io),
      experiment_(experiment),
      recorder_(recorder),
      peers_(static_cast<std::size_t>(experiment.sidecars)),
      cut_in_(static_cast<std::size_t>(experiment.sidecars), 0),
      cut_out_(static_cast<std::size_t>(experiment.sidecars), 0),
      loss_(experiment.relay_loss),
      random_(experiment.seed * 0x9e3779b97f4a7c15ULL + 17) {
    const udp::endpoint any(asio::ip::address_v4::loopback(), 0);
    for (int i = 0; i < experiment.sidecars; ++i) {
        sockets_.push_back(std::make_unique<udp::socket>(io, any));
        asio::co_spawn(io, receive(i), asio::detached);
    }
    all_ = std::make_unique<udp::socket>(io, any);
    asio::co_spawn(io, receive(-1), asio::detached);
}

void Relay::bind_peer(int sidecar, udp::endpoint peer_listen) {
    by_endpoint_.erase(peers_[static_cast<std::size_t>(sidecar)]);
    peers_[static_cast<std::size_t>(sidecar)] = peer_listen;
    by_endpoint_[peer_listen] = sidecar;
}

void Relay::cut(const std::vector<int>& sidecars, bool inbound, bool outbound) {
    for (const int i : sidecars) {
        cut_in_[static_cast<std::size_t>(i)] |= inbound;
        cut_out_[static_cast<std::size_t>(i)] |= outbound;
    }
}

void Relay::heal() {
    std::fill(cut_in_.begin(), cut_in_.end(), 0);
    std::fill(cut_out_.begin(), cut_out_.end(), 0);
}

asio::awaitable<void> Relay::receive(int to) {
    udp::socket& socket = to < 0 ? *all_ : *sockets_[static_cast<std::size_t>(to)];
    std::vector<std::uint8_t> buffer(65536);
    for (;;) {
        udp::endpoint from;
        error_code ec;
        const std::size_t size = co_await socket.async_receive_from(
            asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted) co_return;
        if (ec) continue;
        const auto sender = by_endpoint_.find(from);
        if (sender == by_endpoint_.end()) continue;  // none of the fleet's
        if (size > kLongest) {
            ++oversize_;
            recorder_.datagram(size, true);
            continue;
        }
        const std::vector<std::uint8_t> bytes(buffer.begin(),
                                              buffer.begin() + static_cast<std::ptrdiff_t>(size));
        if (to >= 0) {
            pass(sender->second, to, bytes);
        } else {
            for (int i = 0; i < experiment_.sidecars; ++i)
                if (i != sender->second) pass(sender->second, i, bytes);
        }
    }
}

void Relay::pass(int from, int to, const std::vector<std::uint8_t>& bytes) {
    std::uniform_real_distribution<double> unit(0, 1);
    const bool dropped = cut_out_[static_cast<std::size_t>(from)] || cut_in_[static_cast<std::size_t>(to)] ||
                         unit(random_) < loss_ || peers_[static_cast<std::size_t>(to)].port() == 0;
    recorder_.datagram(bytes.size(), dropped);
    if (dropped) return;
    const int copies = unit(random_) < experiment_.relay_duplicate ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const double delay_ms = experiment_.relay_delay_ms * (1 + unit(random_));
        if (delay_ms <= 0) {
            send(from, to, bytes);
            continue;
        }
        if (pending_ >= kMostPending) continue;
        ++pending_;
        // A random delay for each datagram also reorders them.
        auto timer = std::make_shared<asio::steady_timer>(
            io_, std::chrono::microseconds(static_cast<std::int64_t>(delay_ms * 1000)));
        timer->async_wait([this, timer, from, to, bytes](error_code) {
            --pending_;
            send(from, to, bytes);
        });
    }
}

void Relay::send(int from, int to, std::vector<std::uint8_t> bytes) {
    const udp::endpoint& at = peers_[static_cast<std::size_t>(to)];
    error_code ignored;  // a datagram that can't go is a lost one
    sockets_[static_cast<std::size_t>(from)]->send_to(asio::buffer(bytes), at, 0, ignored);
}

}  // namespace ochregrade::lab
