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
    Millis duration = 0;           // 0: no canary
    double max_drop = 0.05;        // largest accepted fall of the share of requests served, 0 to 1
    std::size_t min_samples = 50;  // final responses needed before the canary is evaluated
};

/// The sidecar's part in the replicated state of the fleet (docs/REPLICATION.md).
struct ReplicationConfig {
    bool enabled = false;
    bool version_agreement = true;  // fetch newer versions that other members act on
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
    double rollout_share = 1;         // share of the fleet that acts on this epoch, 0 to 1
    std::uint32_t settings_hash = 0;  // hash of the settings that all sidecars have in common
    std::string state_directory;      // empty: no state is stored
    Millis stable_uptime = 2000;      // a run that lasts this long does not count towards a crash loop

    Settings settings;  // local_zone is not set: each process assigns its own numbers to the zones
    std::optional<std::string> local_zone;
    std::vector<std::string> classes;
    Millis connect_timeout = 1000;
    Millis idle_timeout = 15000;
    Millis longest_deadline = 3000;
    Millis max_retry_after = 1000;

    // The JSON document that this Config was read from, without unknown and start-only fields.
    std::string document;

    /// Whether this sidecar belongs to the share of the fleet that acts on the epoch. A hash of the sidecar's
    /// index and the epoch decides, so the result needs no coordination between sidecars.
    bool in_rollout() const;
    /// Whether this sidecar takes part in replication: replication is enabled, gossip is allowed and the
    /// sidecar's index lies within the fleet.
    bool joins_replication() const;
    /// Index of the class with this name; classes.size() if there is no such class.
    std::size_t class_index(std::string_view class_name) const;
};
/// Reads a document that parse_config() returned. Throws ConfigError with all errors found.
Config read_config(const nlohmann::json& json);

}  // namespace ochregrade::sidecar
