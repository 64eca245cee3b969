// One sidecar: all its parts, wired together. Not thread-safe: everything runs on the loop of one io_context.
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
    /// Throws ConfigError or boost::system::system_error if it can't listen. May wait for addresses to become
    /// free (listen_with_retry.hpp).
    Node(asio::io_context& io, Config config);
    /// The same with what an earlier run has left.
    Node(asio::io_context& io, Start start);
    ~Node();
    tcp::endpoint endpoint() const { return listener_.endpoint(); }
    /// Of operators; none: it is off.
    std::optional<tcp::endpoint> admin_endpoint() const;

    /// A planned stop (GracefulShutdown); only the first call counts.
    void stop(std::function<void()> done);
    /// The configuration file has changed.
    void reload() { reloader_.reload(); }

    /// See ConfigManager.
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
    /// Null: it may not gossip.
    GossipTransport* peers() { return peers_.transport(); }
    /// Null: it takes no part in the replicated state.
    const ReplicationDriver* replication() const { return replication_.driver(); }
    /// Null: no state folder is configured.
    StateStore* state_store() const { return persistence_.store(); }
    bool stopping() const { return shutdown_.started(); }
    BalancerDriver::Usage usage() const { return driver_.usage(); }

private:
    void wire_handlers();
    void open_sockets(const Config& config);
    void datagram_received(std::uint32_t from, std::vector<std::uint8_t> bytes);
    void endpoints_received(const EndpointList& list);

    // Parts refer only to parts above them, except through handlers that the loop calls once all are there.
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
