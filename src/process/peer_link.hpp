// The socket for datagrams between sidecars, which a change of the configuration may open, replace or close.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "control/config.hpp"
#include "fleet/gossip_transport.hpp"

namespace ochregrade::sidecar {

class PeerLink {
public:
    /// `on_received` must be callable as long as the link lives.
    PeerLink(asio::io_context& io, GossipTransport::OnReceived on_received);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// Whether the configuration needs another socket than the one in use.
    bool differs(const Config& config) const;
    /// A socket for the configuration, not in use yet; null if it wants none. Throws system_error.
    std::shared_ptr<GossipTransport> open(const Config& config) const;
    /// Replaces the socket in use, which is stopped. Null: none is in use.
    void replace(std::shared_ptr<GossipTransport> transport);
    /// The addresses of the peers change, the socket does not.
    void set_peers(const Config& config);

    /// Null: the sidecar may not gossip.
    GossipTransport* transport() const { return transport_.get(); }

private:
    asio::io_context& io_;
    GossipTransport::OnReceived on_received_;
    std::shared_ptr<GossipTransport> transport_;
};

}  // namespace ochregrade::sidecar
