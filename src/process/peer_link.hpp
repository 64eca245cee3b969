// Owns the socket for datagrams between sidecars. Configuration changes may open, replace or close the
// socket.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "control/config.hpp"
#include "fleet/gossip_transport.hpp"

namespace ochregrade::sidecar {

class PeerLink {
public:
    /// `on_received` must be callable until the PeerLink is destroyed.
    PeerLink(asio::io_context& io, GossipTransport::OnReceived on_received);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// Whether the configuration needs a socket at another address, a first socket, or no socket any more.
    bool needs_replacement(const Config& config) const;
    /// Opens a socket for the configuration, to be passed to replace(); null if none is needed. Throws
    /// system_error.
    std::shared_ptr<GossipTransport> open(const Config& config) const;
    /// Closes the current socket and uses `transport` in its place. Null: no socket is used.
    void replace(std::shared_ptr<GossipTransport> transport);
    /// Changes the addresses of the peers without replacing the socket.
    void set_peers(const Config& config);

    /// Null if no socket is in use.
    GossipTransport* transport() const { return transport_.get(); }

private:
    asio::io_context& io_;
    GossipTransport::OnReceived on_received_;
    std::shared_ptr<GossipTransport> transport_;
};

}  // namespace ochregrade::sidecar
