// Connects the replicated state of the fleet (docs/REPLICATION.md) to the other components of the sidecar:
// passes evidence between the balancer and the replication, publishes the sidecar's versions to the other
// members, and fetches newer versions that other members act on.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "common/clock.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/replication_driver.hpp"
#include "process/peer_link.hpp"
#include "proxy/balancer_driver.hpp"

namespace ochregrade::sidecar {

class ReplicationLink {
public:
    /// The connected components; all must outlive the ReplicationLink.
    struct Parts {
        asio::io_context& io;
        const Clock& clock;
        BalancerDriver& balancer_driver;
        DiscoveryClient& discovery;
        PeerLink& peers;
    };
    /// `reload` reads the configuration file; called when other members act on newer settings.
    ReplicationLink(Parts parts, std::function<void()> reload);

    /// Joins the replication, leaves it, or rejoins with changed parameters, as the configuration requires.
    void configure(const Config& config);
    /// Announces the end of this member to the other members; called at a graceful shutdown.
    void leave();

    void receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void publish(replication::EndpointKey endpoint, const replication::Evidence& evidence);
    /// Publishes the versions that this sidecar acts on to the other members, and logs them if they changed.
    void publish_versions();
    /// Reports the draining and removed endpoints of the list to the other members.
    void publish_withdrawn(const EndpointList& list);
    /// Records that this sidecar has handled the epoch, even if it does not act on it because of the rollout
    /// share. Returns false if the epoch had already been recorded.
    bool settle_epoch(std::uint32_t epoch);

    /// Null if the sidecar does not take part in replication.
    const ReplicationDriver* driver() const { return driver_.get(); }

private:
    ReplicationDriver::Handlers handlers();
    replication::Versions current_versions() const;

    Parts parts_;
    std::function<void()> reload_;
    std::unique_ptr<ReplicationDriver> driver_;
    replication::Versions published_{};
    std::uint32_t settled_epoch_ = 0;
};

}  // namespace ochregrade::sidecar
