// Changes of the configuration while the process runs (docs/CONFIGURATION.md). A candidate is read, checked
// and prepared, which may fail and then leaves everything as it was; then it is committed to all parts in one
// turn of the event loop.
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

/// A snapshot of a configuration that is going to be that version.
std::shared_ptr<ConfigSnapshot> make_snapshot(Config config, std::uint64_t version, Zones& zones);

class ConfigManager {
public:
    /// What a commit changes; all must outlive the manager.
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
    /// `file_document`: of the file when it was last accepted; empty: it was not.
    ConfigManager(Parts parts, std::string file_document);

    /// `strict` rejects unknown fields.
    ConfigChange change(const nlohmann::json& candidate, ConfigVersions::Source source, bool strict,
                        const ConfigChangeOptions& options);
    /// To a retained version; without a number to ConfigVersions::previous().
    ConfigChange roll_back(std::optional<std::uint64_t> version, std::optional<std::uint64_t> expected);
    /// The file could not be read at all.
    void count_rejected() { ++counts_.rejected; }

    /// A request that did not fit the configuration it began with.
    void invalid_request(const ConfigSnapshotPtr& snapshot, const HttpRequest& head);
    void persist_config();
    void stop_canary_watch() { canary_watch_.stop(); }

    const ConfigCounts& counts() const { return counts_; }

private:
    // Everything that a commit needs, so that it can't fail.
    struct Prepared {
        std::shared_ptr<ConfigSnapshot> snapshot;
        bool replaces_peers = false;
        std::shared_ptr<GossipTransport> peers;  // the replacement; null: no socket
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
