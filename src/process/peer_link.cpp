#include "process/peer_link.hpp"

namespace ochregrade::sidecar {

namespace {

bool needs_socket(const Config& config) { return config.peer_listen && config.settings.gossip_allowed; }

}  // namespace

PeerLink::PeerLink(asio::io_context& io, GossipTransport::OnReceived on_received)
    : io_(io), on_received_(std::move(on_received)) {}

PeerLink::~PeerLink() {
    if (transport_) transport_->stop();
}

bool PeerLink::needs_replacement(const Config& config) const {
    if (!needs_socket(config)) return transport_ != nullptr;
    return !transport_ || transport_->endpoint() != *config.peer_listen;
}

std::shared_ptr<GossipTransport> PeerLink::open(const Config& config) const {
    if (!needs_socket(config)) return nullptr;
    auto transport = std::make_shared<GossipTransport>(io_, *config.peer_listen, on_received_);
    transport->set_peers(config.peers, config.peers_all);
    return transport;
}

void PeerLink::replace(std::shared_ptr<GossipTransport> transport) {
    if (transport_) transport_->stop();
    transport_ = std::move(transport);
    if (transport_) transport_->listen();
}

void PeerLink::set_peers(const Config& config) {
    if (transport_) transport_->set_peers(config.peers, config.peers_all);
}

}  // namespace ochregrade::sidecar
