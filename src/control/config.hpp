// The configuration, typed. Every complaint names the field that it is about.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

struct ValidationError {
    std::string field, what;
};
struct ConfigError : std::runtime_error {
    explicit ConfigError(std::vector<ValidationError> all);
    ConfigError(const std::string& field, const std::string& what);
    std::vector<ValidationError> errors;  // all of them, not only the first
};

// One server as discovery lists it.
struct ListedEndpoint {
    std::string name;
    tcp::endpoint address;
    std::string zone;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;
    double capacity_weight = 1;
};
struct EndpointList {
    std::uint64_t seq = 0;
    bool complete = false;
    std::vector<ListedEndpoint> endpoints;
};
// Reads discovery's form; throws ConfigError.
EndpointList parse_endpoint_list(const nlohmann::json& json);

// How a new generation is tried; bake 0: not at all.
struct CanaryRule {
    Millis duration = 0;
    double max_drop = 0.05;
    std::size_t min_samples = 50;
};

// The sidecar's part in the fleet's shared state (docs/REPLICATION.md).
struct ReplicationConfig {
    bool enabled = false;
    bool version_agreement = true;  // what others act on that is newer is asked for
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
    std::uint32_t epoch = 0;          // of the settings, the operators'; 0: they count none
    double rollout_share = 1;         // the share of the fleet that is to act on it
    std::uint32_t settings_hash = 0;  // of the settings that all sidecars have in common
    std::string state_directory;      // empty: none
    Millis stable_uptime = 2000;

    Settings settings;  // without my_zone: zones have their numbers from whoever runs
    std::optional<std::string> local_zone;
    std::vector<std::string> classes;
    Millis connect_timeout = 1000;
    Millis idle_timeout = 15000;
    Millis longest_deadline = 3000;
    Millis max_retry_after = 1000;

    // What it was read from, without what is unknown or read at the start only.
    std::string document;

    // Whether this sidecar is among the share that acts on it: the same ones whoever asks.
    bool in_rollout() const;
    // Whether it takes part in the shared state: it is asked to, may tell, and knows its place in the fleet.
    bool joins_replication() const;
    // Index of a class by its name; classes.size() if there is none.
    std::size_t class_index(std::string_view class_name) const;
};
// Throws ConfigError with every complaint at once.
Config read_config(const nlohmann::json& json);

// The program's own section of the configuration, and its name up to version 0.1, read for one release more.
constexpr const char* kOwnSection = "ochregrade";
constexpr const char* kFormerSection = "cobaltshift";

// Text to JSON, with bounds on size and depth. Throws ConfigError that names `source`. A section under its
// former name gets the present one.
nlohmann::json parse_config(std::string_view text, const std::string& source);

// The text of the file that NODE_CONFIG names. One that is replaced meanwhile is read again.
std::string read_config_file();

// The file at the start; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before what it says.
nlohmann::json start_document();
// Fields of the platform's that the table does not have are tolerated, and said so in a line.
void log_unknown_fields(const nlohmann::json& document);
// The file again. Here it goes before NODE_DISCOVERY: it is what has changed.
nlohmann::json reload_document();

// What a candidate leaves out of the fixed fields is as it was.
void keep_fixed(nlohmann::json& candidate, const nlohmann::json& running);
// For a candidate while `running` is in force: what it leaves out of the fixed and start-only fields is as
// it was, and complaints about those that differ. Unknown fields are refused if `strict`.
Config read_candidate(nlohmann::json candidate, const Config& running, bool strict);

}  // namespace ochregrade::sidecar
