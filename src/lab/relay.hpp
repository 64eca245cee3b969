/// @file
/// The datagram relay between sidecars' `peer_listen`. Each sidecar is configured with the relay's socket for
/// each peer in place of the peer, so every datagram passes here, where it may be dropped, delayed,
/// duplicated or cut off. It is forwarded from the socket that stands for its sender: the receiver sees the
/// sender's address in `peers`, as the protocol page has it.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/recorder.hpp"

namespace ochregrade::lab {

class Relay {
public:
    using Endpoint = boost::asio::ip::udp::endpoint;

    /// Opens its sockets and receives from now on. The references must outlive it.
    Relay(boost::asio::io_context& io, const Experiment& experiment, Recorder& recorder);

    /// The port that stands for this sidecar.
    std::uint16_t port(int sidecar) const {
        return sockets_[static_cast<std::size_t>(sidecar)]->local_endpoint().port();
    }
    /// The port that stands for all sidecars but the sender.
    std::uint16_t broadcast_port() const { return broadcast_socket_->local_endpoint().port(); }
    /// Where this sidecar's datagrams come from and go to.
    void bind_peer(int sidecar, const Endpoint& peer_listen);

    /// Drops datagrams to and/or from these sidecars, besides what is cut off already.
    void cut(const std::vector<int>& sidecars, bool inbound, bool outbound);
    void heal();
    void set_loss(double share) { loss_ = share; }
    double loss() const { return loss_; }
    /// Datagrams longer than the protocol allows; they are dropped.
    std::uint64_t oversize() const { return oversize_; }

private:
    using Datagram = std::vector<std::uint8_t>;

    boost::asio::awaitable<void> receive(int to);
    void accept(int from, int to, const Datagram& datagram);
    void forward(int from, int to, const Datagram& datagram);
    void deliver(int from, int to, const Datagram& datagram, double delay_ms);
    void send(int from, int to, const Datagram& datagram);
    double draw_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    boost::asio::io_context& io_;
    const Experiment& experiment_;
    Recorder& recorder_;
    std::vector<std::unique_ptr<boost::asio::ip::udp::socket>> sockets_;  // by sidecar
    std::unique_ptr<boost::asio::ip::udp::socket> broadcast_socket_;
    std::vector<Endpoint> peers_;  // by sidecar
    std::map<Endpoint, int> sidecar_at_;
    std::vector<std::uint8_t> inbound_cut_, outbound_cut_;  // by sidecar
    double loss_;
    std::mt19937_64 random_;
    std::size_t delayed_ = 0;  // datagrams waiting for their delay
    std::uint64_t oversize_ = 0;
};

}  // namespace ochregrade::lab
