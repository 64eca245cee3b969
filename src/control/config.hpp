// The typed configuration; docs/CONFIGURATION.md explains each field. This header also includes the headers
// of the validation errors, the endpoint list, the configuration file and the candidates.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/config_candidate.hpp"
#include "control/config_error.hpp"
#include "control/config_file.hpp"
#include "control/endpoint_list.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

using boost::asio::ip::udp;

/// The conditions under which the canary of a new version of the configuration passes or fails.
struct CanaryRule {
    Millis duration = 0;     // ms; 0: no canary
    double max_drop = 0.05;  // largest accepted fall of the share served (ConfigVersions::Share), 0 to 1
    std::size_t min_samples = 50;  // final responses needed before the canary is evaluated
};

/// How this sidecar takes part in the replicated state of the fleet (docs/REPLICATION.md). Periods in ms.
struct ReplicationConfig {
    bool enabled = false;
    // Whether this sidecar fetches the endpoint list or settings when another member already uses a newer
    // version.
    bool version_agreement = true;
    Millis probe_period = 1000, gossip_period = 100, sync_period = 2000;
    bool operator==(const ReplicationConfig&) const = default;
};

struct Config {
    std::string name;
    tcp::endpoint listen;
    tcp::endpoint discovery_address;
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    std::size_t memory_mb = 256;
    std::optional<udp::endpoint> peer_listen;
    std::vector<udp::endpoint> peers;
    std::optional<udp::endpoint> peers_all;
    std::optional<EndpointList> known_endpoints;
    std::optional<tcp::endpoint> operator_endpoint;
    CanaryRule canary;
    ReplicationConfig replication;
    std::uint32_t epoch = 0;          // version of the settings, set by operators; 0: not versioned
    double rollout_share = 1;         // share of the fleet that acts on `epoch`, 0 to 1
    std::uint32_t settings_hash = 0;  // hash of the settings without this sidecar's index and zone
    std::string state_directory;      // empty: no state is stored
    Millis stable_uptime = 2000;      // ms; a run that lasts this long does not count towards a crash loop

    Settings settings;  // without settings.local_zone: each process assigns its own numbers to the zones
    std::optional<std::string> local_zone;
    std::vector<std::string> classes;
    Millis connect_timeout = 1000;
    Millis idle_timeout = 15000;
    Millis longest_deadline = 3000;
    Millis max_retry_after = 1000;

    // The JSON document that this Config was read from, without unknown and start-only fields.
    std::string document;

    /// Whether this sidecar belongs to the share of the fleet that acts on `epoch`; always true for a share
    /// of 1. For smaller shares, a hash of the sidecar's index and the epoch decides, so the sidecars need no
    /// coordination.
    bool in_rollout() const;
    /// Whether this sidecar takes part in replication. The conditions: replication is enabled, gossip is
    /// allowed, `peer_listen` is set, the fleet has 2 to kMaxMembers sidecars, this sidecar's index lies
    /// within the fleet, and `peers` has an address for each sidecar.
    bool joins_replication() const;
    /// Index of the class with this name; classes.size() if there is no such class.
    std::size_t class_index(std::string_view class_name) const;
};
/// Reads a parsed document (parse_config(), start_document()). Throws ConfigError with the errors found, at
/// most ValidationErrors::kMaxErrors of them.
Config read_config(const nlohmann::json& json);

}  // namespace ochregrade::sidecar
