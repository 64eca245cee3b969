#include "control/operator_json.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "process/node.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

json share_json(const ConfigVersions::Share& share) {
    return {{"served", share.served}, {"answers", share.all}};
}

// Null if no state folder is configured.
json state_store_json(const StateStore* store) {
    if (!store) return nullptr;
    const auto counts = store->counts();
    json view = {{"usable", store->usable()},
                 {"settled", store->settled()},
                 {"written", counts.written},
                 {"failed", counts.failed},
                 {"bytes", counts.bytes}};
    if (!store->usable()) view["why"] = store->unusable_reason();
    if (counts.last_error) view["last_error"] = counts.last_error.message();
    return view;
}

// The versions that this sidecar acts on, as it published them to the other members; null before that.
json own_versions_json(const replication::Replica& replica) {
    const auto versions = replica.member(replica.self()).versions();
    if (!versions) return nullptr;
    const replication::Versions& own = versions->value;
    return {{"epoch", own.epoch}, {"hash", own.hash}, {"list", {own.list_incarnation, own.list_seq}}};
}

// Null if this sidecar does not take part in replication.
json replication_json(const ReplicationDriver* replication) {
    if (!replication) return nullptr;
    const replication::Replica& replica = replication->replica();
    return {{"members", replica.members()},
            {"alive", replica.alive()},
            {"records", replica.records()},
            {"caught_up", replica.caught_up()},
            {"acts_on", own_versions_json(replica)},
            {"list_behind", replication->list_follower().behind()},
            {"settings_behind", replication->settings_follower().behind()}};
}

json endpoints_json(const Node& node) {
    const BalancerDriver::Usage usage = node.usage();
    std::ostringstream discovery;
    discovery << node.driver().snapshot()->config.discovery_address;
    return {{"held", node.driver().has_endpoints()},
            {"seq", node.discovery().seq()},
            {"servers", usage.endpoints},
            {"removed", usage.ejected},
            {"discovery", discovery.str()}};
}

json changes_json(const ConfigCounts& counts) {
    return {{"applied", counts.applied},
            {"refused", counts.rejected},
            {"unchanged", counts.unchanged},
            {"rolled_back", counts.rolled_back},
            {"taken_back", counts.canaries_rolled_back},
            {"last_pause_ms", counts.last_commit},
            {"longest_pause_ms", counts.longest_commit}};
}

}  // namespace

json version_json(const ConfigVersions::Entry& entry) {
    json view = {{"generation", entry.number()},
                 {"content_of", entry.content_version},
                 {"source", to_string(entry.source)},
                 {"state", to_string(entry.state)},
                 {"at_ms", std::floor(entry.committed_at)}};
    if (!entry.note.empty()) view["note"] = entry.note;
    return view;
}

json canary_json(const Node& node) {
    const auto& canary = node.versions().canary();
    if (!canary) return nullptr;
    return {{"bake_ms", canary->rule.duration},
            {"margin", canary->rule.max_drop},
            {"min_samples", canary->rule.min_samples},
            {"falls_back_to", canary->fallback},
            {"running_ms", node.clock().now() - canary->started_at},
            {"before", share_json(canary->baseline)},
            {"during", share_json(canary->observed)}};
}

json status_json(const Node& node) {
    const std::size_t clients = node.listener().connections();
    return {{"name", node.driver().snapshot()->config.name},
            {"stopping", node.stopping()},
            {"generation", version_json(node.versions().current())},
            {"trial", canary_json(node)},
            {"last_minute", share_json(node.versions().recent(node.clock().now()))},
            {"list", endpoints_json(node)},
            {"state", state_store_json(node.state_store())},
            {"fleet", replication_json(node.replication())},
            {"unanswered", node.driver().pending_requests()},
            {"connections", {{"clients", clients}, {"servers", node.usage().connections}}},
            {"changes", changes_json(node.counts())}};
}

}  // namespace ochregrade::sidecar
