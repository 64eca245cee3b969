// UDP transport of gossip between the sidecars of a fleet. Datagrams have at most 256 bytes and may be late
// or lost. The sender of a datagram is identified by the source address. Longer datagrams, and datagrams from
// addresses that belong to no peer, are dropped.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "common/http.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

class GossipTransport : public std::enable_shared_from_this<GossipTransport> {
public:
    /// Called for each datagram from a peer; not called after stop(). `from`: the sender's index among the
    /// peers.
    using OnReceived = std::function<void(std::uint32_t from, std::vector<std::uint8_t> bytes)>;

    /// Throws boost::system::system_error if the socket can't be bound to the address `local`.
    GossipTransport(asio::io_context& io, const udp::endpoint& local, OnReceived on_received);

    /// Sets the address of each peer, by index. `broadcast`: an address that reaches all peers.
    void set_peers(std::vector<udp::endpoint> peers, std::optional<udp::endpoint> broadcast);
    /// Starts receiving; to be called once.
    void listen();
    /// Closes the socket; pending operations keep this object alive until they have ended.
    void stop();
    udp::endpoint endpoint() const { return local_; }

    /// `to`: index of a peer; none: the broadcast address. If the index or the address is not set, or on an
    /// error, the datagram is lost. A datagram over the maximum size is logged and not sent.
    void send(std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes);

private:
    static constexpr std::size_t kMaxDatagramBytes = 256;  // the platform's limit

    const udp::endpoint local_;
    std::vector<udp::endpoint> peers_;
    std::optional<udp::endpoint> broadcast_;
    bool stopped_ = false;
    OnReceived on_received_;
    udp::socket socket_;
    udp::endpoint sender_;                                      // source address of the datagram in buffer_
    std::array<std::uint8_t, kMaxDatagramBytes + 1> buffer_{};  // the extra byte detects oversized datagrams
};

}  // namespace ochregrade::sidecar
