#include "control/config_parser.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "balancer/settings_validation.hpp"
#include "control/config_schema.hpp"
#include "control/json_field.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

constexpr std::size_t kMinSockets = 64;
constexpr double kMaxMemoryMb = 1e9;
constexpr Millis kLongestPeriod = 60000;

void read_limits(Config& config, const JsonField& limits) {
    if (limits.has("sockets")) config.sockets = limits["sockets"].unsigned_integer<std::size_t>();
    if (limits.has("sockets") && config.sockets < kMinSockets)
        limits["sockets"].report("is under 64, too few to serve with");
    if (limits.has("memory_mb")) {
        const double megabytes = limits["memory_mb"].non_negative();
        if (megabytes > kMaxMemoryMb) return limits["memory_mb"].report("is too large");
        config.memory_mb = static_cast<std::size_t>(megabytes);
    }
}

void read_canary_rule(CanaryRule& rule, const JsonField& field) {
    if (field.has("bake_ms")) rule.duration = field["bake_ms"].duration();
    if (field.has("margin")) rule.max_drop = field["margin"].fraction();
    if (field.has("min_samples")) rule.min_samples = field["min_samples"].unsigned_integer<std::size_t>();
    if (rule.min_samples == 0) field["min_samples"].report("must be over 0");
}

void read_replication(ReplicationConfig& replication, const JsonField& field) {
    if (field.has("enabled")) replication.enabled = field["enabled"].flag();
    if (field.has("agreement")) replication.version_agreement = field["agreement"].flag();
    const auto period = [&](const char* name, Millis& target, Millis shortest) {
        if (!field.has(name)) return;
        target = field[name].duration();
        if (target < shortest || target > kLongestPeriod)
            field[name].report("is not between " + std::to_string(static_cast<int>(shortest)) +
                               " and 60000 ms");
    };
    period("probe_ms", replication.probe_period, 100);
    period("gossip_ms", replication.gossip_period, 20);
    period("sync_ms", replication.sync_period, 200);
}

void read_own_section(Config& config, const JsonField& own) {
    if (own.has("admin")) {
        const JsonField address = own["admin"]["listen"];
        config.operator_endpoint = address.endpoint<tcp>();
        if (own["admin"].has("listen") && !config.operator_endpoint->address().is_loopback())
            address.report("is not a loopback address");
    }
    if (own.has("state")) {
        const JsonField state = own["state"];
        if (state.has("dir")) config.state_directory = state["dir"].text();
        if (state.has("lived_ms")) config.stable_uptime = state["lived_ms"].duration();
    }
    if (own.has("trial")) read_canary_rule(config.canary, own["trial"]);
    if (own.has("fleet")) read_replication(config.replication, own["fleet"]);
    if (own.has("epoch")) config.epoch = own["epoch"].unsigned_integer<std::uint32_t>();
    if (own.has("rollout")) {
        config.rollout_share = own["rollout"]["share"].fraction();
        if (config.rollout_share < 1 && config.epoch == 0) own["rollout"]["share"].report("needs an epoch");
    }
}

std::uint64_t read_seed(const JsonField& root) {
    std::uint64_t seed = 0;
    const std::string text = root["seed"].text();
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seed, 16);
    if (root.has("seed") && (text.empty() || parsed.ptr != end || parsed.ec != std::errc()))
        root["seed"].report("is not a hex number");
    return seed;
}

void read_process_fields(Config& config, const JsonField& root) {
    config.name = root["name"].text();
    config.listen = root["listen"].endpoint<tcp>();
    config.discovery_address = root["discovery"].endpoint<tcp>();
    config.seed = read_seed(root);
    if (root.has("limits")) read_limits(config, root["limits"]);
    if (root.has("peer_listen")) config.peer_listen = root["peer_listen"].endpoint<udp>();
    if (root.has("peers"))
        for (const JsonField& peer : root["peers"].items()) config.peers.push_back(peer.endpoint<udp>());
    if (root.has("peers_all")) config.peers_all = root["peers_all"].endpoint<udp>();
    if (root.has("known")) config.known_endpoints = read_endpoint_list(root["known"]);
}

// Reports settings that the parser accepts but the balancer's own validation rejects.
void check_settings(const Config& config, ValidationErrors& errors) {
    try {
        validate(config.settings);
    } catch (const std::invalid_argument& error) {
        errors.add("settings", std::string("are refused: ") + error.what());
    }
}

// Hashes the settings without this sidecar's index and zone, so that sidecars with otherwise equal settings
// get the same hash.
std::uint32_t hash_settings(json settings) {
    settings.erase("my-number");
    settings.erase("my-zone");
    const std::string text = settings.dump();
    return XXH32(text.data(), text.size(), 0);
}

}  // namespace

Config read_document(const json& document, ValidationErrors& errors) {
    Config config;
    if (!document.is_object()) {
        errors.add_unlimited("the file", "is not an object");
        return config;
    }
    const JsonField root(&document, "", errors);
    read_process_fields(config, root);
    if (root.has(kOwnSection)) read_own_section(config, root[kOwnSection]);
    read_settings(config, root["settings"]);
    if (errors.empty()) check_settings(config, errors);
    if (errors.empty()) {
        const json version = version_document(document);
        config.document = version.dump();
        config.settings_hash = hash_settings(version.at("settings"));
    }
    return config;
}

Config read_config(const json& document) {
    ValidationErrors errors;
    Config config = read_document(document, errors);
    errors.throw_if_any();
    return config;
}

}  // namespace ochregrade::sidecar
