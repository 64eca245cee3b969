// The configuration, typed; each field is explained in docs/CONFIGURATION.md. Including this header also
// gives the errors, the endpoint list, the file and the candidates.
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

/// How a new version of the configuration is tried before it counts as good.
struct CanaryRule {
    Millis duration = 0;           // 0: without a canary
    double max_drop = 0.05;        // of the share of requests served
    std::size_t min_samples = 50;  // answers without which there is no verdict
};

/// The sidecar's part in the replicated state of the fleet (docs/REPLICATION.md).
struct ReplicationConfig {
    bool enabled = false;
    bool version_agreement = true;  // newer versions that other members act on are fetched
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
    std::uint32_t epoch = 0;          // of the settings, set by operators; 0: not versioned
    double rollout_share = 1;         // of the fleet that is to act on this epoch
    std::uint32_t settings_hash = 0;  // of the settings that all sidecars have in common
    std::string state_directory;      // empty: none
    Millis stable_uptime = 2000;      // a run as long as this does not count towards a crash loop

    Settings settings;  // without local_zone: zones are numbered by the running process
    std::optional<std::string> local_zone;
    std::vector<std::string> classes;
    Millis connect_timeout = 1000;
    Millis idle_timeout = 15000;
    Millis longest_deadline = 3000;
    Millis max_retry_after = 1000;

    // The JSON that it was read from, without unknown and start-only fields.
    std::string document;

    /// Whether this sidecar is among the share of the fleet that acts on the epoch; a hash of its index and
    /// the epoch decides, so that every sidecar knows the answer for all.
    bool in_rollout() const;
    /// Whether it takes part in replication: enabled, allowed to gossip, and with an index within the fleet.
    bool joins_replication() const;
    /// Index of a class by its name; classes.size() if there is none.
    std::size_t class_index(std::string_view class_name) const;
};
/// Reads a document as parse_config gives it. Throws ConfigError with all errors found.
Config read_config(const nlohmann::json& json);

}  // namespace ochregrade::sidecar
