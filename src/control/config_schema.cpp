#include "control/config_schema.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;
using enum FieldKind;

constexpr FieldInfo kFields[] = {
    {"name", fixed, "text", "the sidecar's name; `NODE_NAME` overrides it"},
    {"listen", fixed, "address:port", "where clients connect; `NODE_LISTEN` overrides it"},
    {"discovery", live, "address:port",
     "address of discovery; `NODE_DISCOVERY` overrides it at the start, but not on a reload"},
    {"seed", start_only, "hex number", "seeds the random choices"},
    {"limits.sockets", live, "whole number",
     "descriptors that the process may use, 64 at least (1024); must not exceed `RLIMIT_NOFILE` when raised"},
    {"limits.memory_mb", live, "amount", "memory that the process may use, in MiB (256)"},
    {"limits.cores", unused, "", "the platform's"},
    {"peer_listen", live, "address:port", "where datagrams of other sidecars are received"},
    {"peers[]", live, "address:port", "the sidecars of the tier by index, this one included"},
    {"peers_all", live, "address:port", "broadcast address that reaches all of them"},
    {"known.*", start_only, "list", "the last endpoint list received, in discovery's form"},
    {"ochregrade.admin.listen", fixed, "address:port",
     "address of the operators' endpoint, loopback only; disabled if absent"},
    {"ochregrade.state.dir", fixed, "path",
     "folder for durable state; nothing is stored if absent; `OCHREGRADE_STATE_DIR` overrides it"},
    {"ochregrade.state.lived_ms", start_only, "time",
     "a run that lasts this long does not count towards a crash loop (2000)"},
    {"ochregrade.trial.bake_ms", live, "time",
     "duration of the canary of a new generation; 0 (default): no canary"},
    {"ochregrade.trial.margin", live, "share",
     "the canary fails when the share served falls by more than this (0.05)"},
    {"ochregrade.trial.min_samples", live, "whole number",
     "answers that the canary needs at least before it is evaluated (50)"},
    {"ochregrade.epoch", live, "whole number",
     "version of the settings, to be increased with each change; 0 (default): unversioned"},
    {"ochregrade.rollout.share", live, "share",
     "share of the fleet that applies this epoch (1); the others keep the previous one"},
    {"ochregrade.fleet.enabled", live, "flag",
     "takes part in replication (false); needs `peers` and an index below `siblings`"},
    {"ochregrade.fleet.agreement", live, "flag",
     "fetches newer settings and lists that other sidecars use (true)"},
    {"ochregrade.fleet.probe_ms", live, "time", "interval between probes of other members (1000)"},
    {"ochregrade.fleet.gossip_ms", live, "time",
     "interval between datagrams while updates are pending (100)"},
    {"ochregrade.fleet.sync_ms", live, "time",
     "interval between comparisons of digests with another member (2000)"},
    {"settings.classes[].name", live, "text", "name of the class, as in `X-Service-Class`"},
    {"settings.classes[].effect", live, "word",
     "idempotency: `repeatable` (idempotent), `by_key` (idempotent with a key) or `once` (not idempotent)"},
    {"settings.classes[].dedup-scope", live, "word",
     "which servers deduplicate together: `all`, those of a `zone` or of a `cell`"},
    {"settings.classes[].dedup-window-ms", live, "time",
     "how long servers deduplicate retries with the same key"},
    {"settings.classes[].on-time-ms", live, "time",
     "latency objective: an answer within it counts with full priority weight"},
    {"settings.classes[].aim-stretch", live, "amount",
     "the latency objective grows by this multiple of the request's effort"},
    {"settings.classes[].credit", live, "amount", "priority weight of a request, relative to other classes"},
    {"settings.classes[].give-up-ms", live, "time", "longest time that a client of this class waits (3000)"},
    {"settings.classes[].late-value", unused, "", "the platform's"},
    {"settings.classes[].stream", unused, "", "the platform's"},
    {"settings.azs[]", live, "text", "names of the zones"},
    {"settings.my-zone", live, "text", "zone of this sidecar"},
    {"settings.membership-mode", live, "word", "discovery: `pushed` (watched) or `on_request` (polled)"},
    {"settings.siblings", live, "whole number", "sidecars that share the servers, this one included"},
    {"settings.my-number", live, "whole number", "index of this sidecar among them, from 0"},
    {"settings.limits.max-attempts", live, "whole number", "attempts for one request, the first included"},
    {"settings.limits.parallel-tries", live, "flag", "hedging: a request may have two attempts in flight"},
    {"settings.limits.may-cancel", live, "flag", "attempts in flight may be cancelled"},
    {"settings.limits.may-probe", live, "flag", "servers may be probed"},
    {"settings.limits.may-tell", live, "flag", "gossip may be sent to other sidecars"},
    {"settings.limits.connect-timeout-ms", live, "time", "timeout for establishing a connection to a server"},
    {"settings.limits.idle-close-ms", live, "time", "idle time after which servers close a connection"},
    {"settings.limits.max-retry-after-ms", live, "time", "upper bound of `Retry-After`"},
    {"settings.limits.*", unused, "", "the platform's"},
    {"settings.rules.ask-within-ms", live, "time",
     "after a failed call a list change counts as known four times this later; limits the retry delay"},
    {"settings.rules.cold-from", live, "share",
     "slow start: share of its capacity that a server has when it starts"},
    {"settings.rules.fall-multiple", live, "amount",
     "slow start: load, as a multiple of its present capacity, above which a server collapses"},
    {"settings.rules.warm-within-ms", live, "time", "slow start: time until a server has full capacity"},
    {"settings.rules.*", unused, "", "the platform's"},
    {"settings.fees.cross-zone", live, "amount", "cost of an attempt in another zone"},
    {"settings.fees.probe", live, "amount", "cost of a probe"},
    {"settings.fees.*", unused, "", "the platform's"},
    {"settings.clients.*", unused, "", "the platform's"},
    {"settings.domain-type", unused, "", "the platform's"},
    {"settings.family-info.*", unused, "", "the platform's"},
    {"settings.goal.*", unused, "", "the platform's"},
    {"settings.granularity-ms", unused, "", "the platform's"},
    {"settings.layers.*", unused, "", "the platform's"},
    {"settings.models.*", unused, "", "the platform's"},
    {"settings.over-share-worth", unused, "", "the platform's"},
    {"settings.report.*", unused, "", "the platform's"},
    {"settings.tenants.*", unused, "", "the platform's"},
    {"settings.tier", unused, "", "the platform's"},
    {"settings.weights", unused, "", "the platform's"},
    {"settings.worth-by", unused, "", "the platform's"},
};

// Result of looking up a path in the table. The path is a field (`field` is set), the parent of fields
// (`has_fields_below`) or unknown (neither).
struct Lookup {
    const FieldInfo* field = nullptr;
    bool has_fields_below = false;
};

// Whether `path` lies below `parent`: "a.b" and "a[]" lie below "a".
bool is_below(std::string_view path, std::string_view parent) {
    return path.size() > parent.size() && path.starts_with(parent) &&
           (path[parent.size()] == '.' || path[parent.size()] == '[');
}

Lookup find_field(std::string_view path) {
    Lookup found;
    for (const FieldInfo& info : kFields) {
        std::string_view known = info.path;
        if (known == path) return {&info, false};
        if (known.ends_with(".*")) {
            known.remove_suffix(2);
            if ((is_below(path, known) || path == known) && !found.field) found.field = &info;
        }
        found.has_fields_below |= path.empty() || is_below(known, path);
    }
    // A path that matches "*" is still only a parent if the table has fields below it: "settings.limits.*"
    // does not make settings.limits itself a field.
    if (found.has_fields_below) found.field = nullptr;
    return found;
}

// Copies a document without its unknown and start-only fields, and collects the paths of the first
// `max_unknown` unknown fields.
class DocumentFilter {
public:
    explicit DocumentFilter(std::size_t max_unknown) : max_unknown_(max_unknown) {}

    // `path` contains the index of each list item; `pattern` is the same path with "[]" in place of each
    // index, as in the table. Returns nothing if the value is an unknown or a start-only field.
    std::optional<json> copy(const json& value, const std::string& path, const std::string& pattern) {
        const Lookup found = find_field(pattern);
        if (found.field) {
            if (found.field->kind == start_only) return std::nullopt;
            return value;
        }
        if (!found.has_fields_below) {
            if (unknown_.size() < max_unknown_) unknown_.push_back(path);
            return std::nullopt;
        }
        if (value.is_object()) return copy_object(value, path, pattern);
        if (value.is_array()) return copy_array(value, path, pattern);
        return value;
    }
    const std::vector<std::string>& unknown() const { return unknown_; }

private:
    json copy_object(const json& value, const std::string& path, const std::string& pattern) {
        json result = json::object();
        const std::string path_prefix = path.empty() ? "" : path + ".";
        const std::string pattern_prefix = pattern.empty() ? "" : pattern + ".";
        for (const auto& [name, item] : value.items())
            if (auto part = copy(item, path_prefix + name, pattern_prefix + name))
                result[name] = std::move(*part);
        return result;
    }
    json copy_array(const json& value, const std::string& path, const std::string& pattern) {
        json result = json::array();
        for (std::size_t i = 0; i < value.size(); ++i)
            if (auto part = copy(value[i], path + "[" + std::to_string(i) + "]", pattern + "[]"))
                result.push_back(std::move(*part));
        return result;
    }

    std::size_t max_unknown_;
    std::vector<std::string> unknown_;
};

}  // namespace

std::span<const FieldInfo> config_fields() { return kFields; }

const char* to_string(FieldKind kind) {
    switch (kind) {
        case live:
            return "live";
        case start_only:
            return "start";
        case fixed:
            return "fixed";
        case unused:
            break;
    }
    return "unused";
}

std::vector<std::string> unknown_fields(const json& config, std::size_t max_fields) {
    DocumentFilter filter(max_fields);
    filter.copy(config, "", "");
    return filter.unknown();
}

json version_document(const json& config) {
    DocumentFilter filter(0);
    return filter.copy(config, "", "").value_or(json::object());
}

std::string fields_as_markdown() {
    std::string text = "| field | kind | form | meaning |\n| --- | --- | --- | --- |\n";
    for (const FieldInfo& info : kFields)
        text += std::string("| `") + info.path + "` | " + to_string(info.kind) + " | " + info.form + " | " +
                info.meaning + " |\n";
    return text;
}

}  // namespace ochregrade::sidecar
