#include "lab/relay.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>

namespace ochregrade::lab {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagram = 256;    // bytes: the protocol page's bound
constexpr std::size_t kMaxDelayed = 100000;  // datagrams; more are lost
constexpr std::size_t kReceiveBuffer = 65536;
constexpr int kEverySidecar = -1;  // receiver of a datagram to the broadcast socket

}  // namespace

Relay::Relay(asio::io_context& io, const Experiment& experiment, Recorder& recorder)
    : io_(io),
      experiment_(experiment),
      recorder_(recorder),
      peers_(static_cast<std::size_t>(experiment.sidecars)),
      inbound_cut_(static_cast<std::size_t>(experiment.sidecars), 0),
      outbound_cut_(static_cast<std::size_t>(experiment.sidecars), 0),
      loss_(experiment.relay_loss),
      random_(experiment.seed * 0x9e3779b97f4a7c15ULL + 17) {
    const udp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
    for (int i = 0; i < experiment.sidecars; ++i) {
        sockets_.push_back(std::make_unique<udp::socket>(io, any_port));
        asio::co_spawn(io, receive(i), asio::detached);
    }
    broadcast_socket_ = std::make_unique<udp::socket>(io, any_port);
    asio::co_spawn(io, receive(kEverySidecar), asio::detached);
}

void Relay::bind_peer(int sidecar, const Endpoint& peer_listen) {
    Endpoint& peer = peers_[static_cast<std::size_t>(sidecar)];
    sidecar_at_.erase(peer);
    peer = peer_listen;
    sidecar_at_[peer_listen] = sidecar;
}

void Relay::cut(const std::vector<int>& sidecars, bool inbound, bool outbound) {
    for (const int sidecar : sidecars) {
        if (inbound) inbound_cut_[static_cast<std::size_t>(sidecar)] = 1;
        if (outbound) outbound_cut_[static_cast<std::size_t>(sidecar)] = 1;
    }
}

void Relay::heal() {
    std::fill(inbound_cut_.begin(), inbound_cut_.end(), 0);
    std::fill(outbound_cut_.begin(), outbound_cut_.end(), 0);
}

asio::awaitable<void> Relay::receive(int to) {
    udp::socket& socket = to == kEverySidecar ? *broadcast_socket_ : *sockets_[static_cast<std::size_t>(to)];
    Datagram buffer(kReceiveBuffer);
    for (;;) {
        udp::endpoint from;
        error_code error;
        const std::size_t size = co_await socket.async_receive_from(
            asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) co_return;
        if (error) continue;
        const auto sender = sidecar_at_.find(from);
        if (sender == sidecar_at_.end()) continue;  // not of this fleet
        const auto end = buffer.begin() + static_cast<std::ptrdiff_t>(size);
        accept(sender->second, to, Datagram(buffer.begin(), end));
    }
}

void Relay::accept(int from, int to, const Datagram& datagram) {
    if (datagram.size() > kMaxDatagram) {
        ++oversize_;
        recorder_.datagram(datagram.size(), true);
        return;
    }
    if (to != kEverySidecar) {
        forward(from, to, datagram);
        return;
    }
    for (int sidecar = 0; sidecar < experiment_.sidecars; ++sidecar)
        if (sidecar != from) forward(from, sidecar, datagram);
}

void Relay::forward(int from, int to, const Datagram& datagram) {
    const bool is_cut =
        outbound_cut_[static_cast<std::size_t>(from)] != 0 || inbound_cut_[static_cast<std::size_t>(to)] != 0;
    const bool dropped = is_cut || draw_unit() < loss_ || peers_[static_cast<std::size_t>(to)].port() == 0;
    recorder_.datagram(datagram.size(), dropped);
    if (dropped) return;
    const int copies = draw_unit() < experiment_.relay_duplicate ? 2 : 1;
    // A random delay for each datagram also reorders them.
    for (int copy = 0; copy < copies; ++copy)
        deliver(from, to, datagram, experiment_.relay_delay_ms * (1 + draw_unit()));
}

void Relay::deliver(int from, int to, const Datagram& datagram, double delay_ms) {
    if (delay_ms <= 0) {
        send(from, to, datagram);
        return;
    }
    if (delayed_ >= kMaxDelayed) return;
    ++delayed_;
    // The relay lives until the io_context has stopped, so the handler can't outlive it while it runs.
    const auto delay = std::chrono::microseconds(static_cast<std::int64_t>(delay_ms * 1000));
    auto timer = std::make_shared<asio::steady_timer>(io_, delay);
    timer->async_wait([this, timer, from, to, datagram](error_code) {
        --delayed_;
        send(from, to, datagram);
    });
}

void Relay::send(int from, int to, const Datagram& datagram) {
    error_code ignored;  // a datagram that can't be sent is a lost one
    sockets_[static_cast<std::size_t>(from)]->send_to(asio::buffer(datagram),
                                                      peers_[static_cast<std::size_t>(to)], 0, ignored);
}

}  // namespace ochregrade::lab
