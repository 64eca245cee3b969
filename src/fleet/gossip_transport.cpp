#include "fleet/gossip_transport.hpp"

#include <algorithm>

#include "common/log.hpp"

namespace ochregrade::sidecar {

GossipTransport::GossipTransport(asio::io_context& io, const udp::endpoint& at, OnReceived heard)
    : at_(at), on_received_(std::move(heard)), socket_(io, at) {
    socket_.non_blocking(true);
}

void GossipTransport::set_peers(std::vector<udp::endpoint> peers, std::optional<udp::endpoint> all) {
    peers_ = std::move(peers);
    all_ = all;
}

void GossipTransport::stop() {
    stopped_ = true;
    error_code ignored;
    socket_.close(ignored);
}

void GossipTransport::send(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
    if (bytes.size() > kLongest) return log_line("a message to peers is too long and was not sent");
    if (to ? *to >= peers_.size() : !all_) return;
    error_code ignored;  // a message that can't go is a lost one
    socket_.send_to(asio::buffer(bytes), to ? peers_[*to] : *all_, 0, ignored);
}

void GossipTransport::listen() {
    socket_.async_receive_from(
        asio::buffer(bytes_), from_, [this, self = shared_from_this()](error_code ec, std::size_t size) {
            if (stopped_ || ec == asio::error::operation_aborted) return;
            // The sender is known by its address alone; from anyone else it is noise.
            const auto peer = std::find(peers_.begin(), peers_.end(), from_);
            if (!ec && size <= kLongest && peer != peers_.end())
                on_received_(static_cast<std::uint32_t>(peer - peers_.begin()),
                             {bytes_.begin(), bytes_.begin() + static_cast<std::ptrdiff_t>(size)});
            listen();
        });
}

}  // namespace ochregrade::sidecar
