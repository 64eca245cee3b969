// Changes the configuration while the process runs (docs/CONFIGURATION.md). A candidate is first parsed,
// validated and prepared; if one of these steps fails, the running configuration is unchanged. The candidate
// is then committed to all components in one turn of the event loop.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "control/config_versions.hpp"
#include "discovery/discovery_client.hpp"
#include "process/canary_watch.hpp"
#include "process/config_change.hpp"
#include "process/peer_link.hpp"
#include "process/replication_link.hpp"
#include "process/state_persistence.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/listener.hpp"

namespace ochregrade::sidecar {

/// Creates the snapshot of a configuration under a version number. `zones` numbers the local zone.
std::shared_ptr<ConfigSnapshot> make_snapshot(Config config, std::uint64_t version, Zones& zones);

class ConfigManager {
public:
    /// The components that a commit changes; all must outlive the manager.
    struct Parts {
        asio::io_context& io;
        const Clock& clock;
        Zones& zones;
        ConfigVersions& versions;
        BalancerDriver& driver;
        Listener& listener;
        DiscoveryClient& discovery;
        PeerLink& peers;
        ReplicationLink& replication;
        StatePersistence& persistence;
    };
    /// `file_document`: document of the configuration file as last accepted; empty if none was accepted.
    ConfigManager(Parts parts, std::string file_document);

    /// Applies a candidate, or only validates it for a dry run. `strict`: unknown fields are errors.
    ConfigChange change(const nlohmann::json& candidate, ConfigVersions::Source source, bool strict,
                        const ConfigChangeOptions& options);
    /// Rolls back to a retained version, by default to ConfigVersions::previous(). `expected`: if given, the
    /// version that must be in force.
    ConfigChange roll_back(std::optional<std::uint64_t> version, std::optional<std::uint64_t> expected);
    /// Counts a rejected change. Also called for a configuration file that can't be read.
    void count_rejected() { ++counts_.rejected; }

    /// Called with a request that is invalid under `snapshot`, the configuration in force when the request
    /// started. A running canary may count it as not served.
    void invalid_request(const ConfigSnapshotPtr& snapshot, const HttpRequest& head);
    void persist_config();
    void stop_canary_watch() { canary_watch_.stop(); }

    const ConfigCounts& counts() const { return counts_; }

private:
    // All that a commit needs. The steps that can fail come before the commit, so the commit can't fail.
    struct Prepared {
        std::shared_ptr<ConfigSnapshot> snapshot;
        bool replaces_peers = false;
        std::shared_ptr<GossipTransport> peers;  // used only if replaces_peers; null: no socket
    };
    ConfigChange try_change(const nlohmann::json& candidate, ConfigVersions::Source source, bool strict,
                            const ConfigChangeOptions& options);
    ConfigChange keep_unchanged(const Config& config, ConfigVersions::Source source, bool dry_run);
    ConfigChange stage(const Config& config, bool dry_run);
    ConfigChange ended(ConfigChange::Result result, std::string note = {}) const;
    ConfigChange reject(std::vector<ValidationError> errors, bool dry_run);
    Prepared prepare(Config config);
    Prepared prepare_version(const ConfigVersions::Entry& entry);
    void commit(Prepared prepared, ConfigVersions::Source source, std::uint64_t content_version,
                const CanaryRule& rule);
    void apply(Prepared& prepared);
    bool roll_back_canary(const ConfigVersions::Rollback& rollback);

    Parts parts_;
    std::string file_document_;
    CanaryWatch canary_watch_;
    ConfigCounts counts_;
};

}  // namespace ochregrade::sidecar
