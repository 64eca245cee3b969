// The sidecar's part in the replicated state of the fleet (docs/REPLICATION.md), wired to its other parts:
// evidence goes to and from the balancer, versions to the other members, newer ones of theirs are fetched.
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
    /// The parts that it connects; all must outlive it.
    struct Parts {
        asio::io_context& io;
        const Clock& clock;
        BalancerDriver& balancer_driver;
        DiscoveryClient& discovery;
        PeerLink& peers;
    };
    /// `reload`: reads the configuration file, since other members act on newer settings.
    ReplicationLink(Parts parts, std::function<void()> reload);

    /// Joins, leaves or joins anew, as the configuration asks.
    void configure(const Config& config);
    /// A planned end: tells the others.
    void leave();

    void receive(std::uint32_t from, const std::vector<std::uint8_t>& bytes);
    void publish(replication::EndpointKey endpoint, const replication::Evidence& evidence);
    /// Tells the other members and the log which versions this sidecar acts on.
    void publish_versions();
    /// Tells the other members which endpoints of the list drain or are gone.
    void publish_withdrawn(const EndpointList& list);
    /// The epoch needs no decision any more, though this sidecar may not act on it. False: it was known.
    bool settle_epoch(std::uint32_t epoch);

    /// Null: it takes no part.
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
