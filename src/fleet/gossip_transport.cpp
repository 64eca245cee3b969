#include "fleet/gossip_transport.hpp"

#include <algorithm>

#include "common/log.hpp"

namespace ochregrade::sidecar {

GossipTransport::GossipTransport(asio::io_context& io, const udp::endpoint& local, OnReceived on_received)
    : local_(local), on_received_(std::move(on_received)), socket_(io, local) {
    socket_.non_blocking(true);
}

void GossipTransport::set_peers(std::vector<udp::endpoint> peers, std::optional<udp::endpoint> broadcast) {
    peers_ = std::move(peers);
    broadcast_ = std::move(broadcast);
}

void GossipTransport::stop() {
    stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
}

void GossipTransport::send(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
    if (bytes.size() > kMaxDatagramBytes) {
        log_line("gossip datagram not sent: longer than the maximum datagram size");
        return;
    }
    if (to ? *to >= peers_.size() : !broadcast_) return;
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), to ? peers_[*to] : *broadcast_, 0, ignored);
}

void GossipTransport::listen() {
    socket_.async_receive_from(
        asio::buffer(buffer_), sender_,
        [this, self = shared_from_this()](error_code error, std::size_t size) {
            if (stopped_ || error == asio::error::operation_aborted) return;
            const auto peer = std::find(peers_.begin(), peers_.end(), sender_);
            if (!error && size <= kMaxDatagramBytes && peer != peers_.end())
                on_received_(static_cast<std::uint32_t>(peer - peers_.begin()),
                             {buffer_.begin(), buffer_.begin() + static_cast<std::ptrdiff_t>(size)});
            listen();
        });
}

}  // namespace ochregrade::sidecar
