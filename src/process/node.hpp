// One sidecar: owns and connects all components. Not thread-safe: all components run on one io_context.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "control/config_versions.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/gossip_transport.hpp"
#include "fleet/replication_driver.hpp"
#include "process/config_change.hpp"
#include "process/config_manager.hpp"
#include "process/config_reloader.hpp"
#include "process/graceful_shutdown.hpp"
#include "process/peer_link.hpp"
#include "process/replication_link.hpp"
#include "process/state_persistence.hpp"
#include "proxy/listener.hpp"
#include "recovery/start_plan.hpp"

namespace ochregrade::sidecar {

class OperatorEndpoint;

class Node {
public:
    /// Opens all sockets and starts. Throws ConfigError or boost::system::system_error if a socket can't be
    /// opened. May block, for each socket up to kOpenRetryTimeout, while its address is in use or descriptors
    /// or buffers are short (open_with_retry.hpp).
    Node(asio::io_context& io, Config config);
    /// Like the constructor above, and restores the state of an earlier run.
    Node(asio::io_context& io, Start start);
    ~Node();
    tcp::endpoint endpoint() const { return listener_.endpoint(); }
    /// Address of the operators' endpoint; none if it is disabled.
    std::optional<tcp::endpoint> admin_endpoint() const;

    /// Starts a graceful shutdown (GracefulShutdown), which calls `done` at its end. Later calls have no
    /// effect.
    void stop(std::function<void()> done);
    /// Reads the configuration file again and applies it, in a later turn of the event loop.
    void reload() { reloader_.reload(); }

    /// See ConfigManager::change() and ConfigManager::roll_back().
    ConfigChange change(const nlohmann::json& candidate, ConfigVersions::Source source, bool strict,
                        const ConfigChangeOptions& options) {
        return config_manager_.change(candidate, source, strict, options);
    }
    ConfigChange roll_back(std::optional<std::uint64_t> version, std::optional<std::uint64_t> expected) {
        return config_manager_.roll_back(version, expected);
    }

    const ConfigCounts& counts() const { return config_manager_.counts(); }
    const ConfigVersions& versions() const { return versions_; }
    const BalancerDriver& driver() const { return driver_; }
    const Listener& listener() const { return listener_; }
    const DiscoveryClient& discovery() const { return discovery_; }
    const Clock& clock() const { return clock_; }
    /// Null if gossip is not allowed or no address for it is configured.
    GossipTransport* peers() { return peers_.transport(); }
    /// Null if this sidecar does not take part in replication.
    const ReplicationDriver* replication() const { return replication_.driver(); }
    /// Null if no state folder is configured.
    StateStore* state_store() const { return persistence_.store(); }
    bool stopping() const { return shutdown_.started(); }
    BalancerDriver::Usage usage() const { return driver_.usage(); }

private:
    void wire_handlers();
    void open_sockets(const Config& config);
    void datagram_received(std::uint32_t from, std::vector<std::uint8_t> bytes);
    void endpoints_received(const EndpointList& list);

    // Each component refers only to components declared above it, except in handlers, which the event loop
    // calls after the construction of all components.
    asio::io_context& io_;
    Clock clock_;
    Zones zones_;
    ConfigVersions versions_;
    BalancerDriver driver_;
    Listener listener_;
    PeerLink peers_;
    DiscoveryClient discovery_;
    ReplicationLink replication_;
    StatePersistence persistence_;
    ConfigManager config_manager_;
    ConfigReloader reloader_;
    std::unique_ptr<OperatorEndpoint> operator_endpoint_;
    GracefulShutdown shutdown_;
};

}  // namespace ochregrade::sidecar
