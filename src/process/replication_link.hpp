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
    /// `reload` must read the configuration file; it is called when other members act on newer settings.
    ReplicationLink(Parts parts, std::function<void()> reload);

    /// Joins the replication, leaves it, or rejoins with another index, fleet size or replication settings,
    /// as the configuration requires.
    void configure(const Config& config);
    /// Announces to the other members that this member leaves; called at a graceful shutdown and by
    /// configure().
    void leave();

    void receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void publish(replication::EndpointKey endpoint, const replication::Evidence& evidence);
    /// Publishes to the other members the versions that this sidecar acts on, and logs them if they changed.
    /// Does nothing if the sidecar does not take part in replication.
    void publish_versions();
    /// Reports the draining and removed endpoints of the list to the other members.
    void publish_withdrawn(const EndpointList& list);
    /// Records that this sidecar has read the settings of the epoch but does not act on them, because the
    /// rollout share excludes this sidecar; the settings need not be fetched again. Returns false if this
    /// epoch or a newer one had already been recorded.
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
