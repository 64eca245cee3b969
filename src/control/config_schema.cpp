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
    {"name", fixed, "text", "the sidecar's name; `NODE_NAME` goes before it"},
    {"listen", fixed, "address:port", "where clients connect; `NODE_LISTEN` goes before it"},
    {"discovery", live, "address:port",
     "where the list of servers is asked for; at the start `NODE_DISCOVERY` goes before it, later the file "
     "does"},
    {"seed", start_only, "hex number", "for the random choices"},
    {"limits.sockets", live, "whole number",
     "descriptors the process may use, 64 at least (1024); may not be raised beyond what the system allows"},
    {"limits.memory_mb", live, "amount", "memory the process may use (256)"},
    {"limits.cores", unused, "", "the platform's"},
    {"peer_listen", live, "address:port", "where datagrams of other sidecars arrive"},
    {"peers[]", live, "address:port", "the sidecars of the tier by their numbers, this one included"},
    {"peers_all", live, "address:port", "reaches all of them"},
    {"known.*", start_only, "list", "the servers as last held, in discovery's form"},
    {"ochregrade.admin.listen", fixed, "address:port",
     "the operators' endpoint, on loopback only; none if absent"},
    {"ochregrade.state.dir", fixed, "path",
     "the folder for durable state; none if absent; `OCHREGRADE_STATE_DIR` goes before it"},
    {"ochregrade.state.lived_ms", start_only, "time",
     "a life as long as this is none of a crash loop's (2000)"},
    {"ochregrade.trial.bake_ms", live, "time",
     "how long a new generation is on trial; 0 (if absent): not at all"},
    {"ochregrade.trial.margin", live, "share",
     "a trial ends badly when the share served falls by more than this (0.05)"},
    {"ochregrade.trial.min_samples", live, "whole number",
     "and is judged by no fewer answers than this (50)"},
    {"ochregrade.epoch", live, "whole number",
     "the version of the settings, higher with each change of them; 0 (if absent): they have none"},
    {"ochregrade.rollout.share", live, "share",
     "of the fleet that acts on this epoch (1); the others stay with the one before"},
    {"ochregrade.fleet.enabled", live, "flag",
     "whether it takes part in the fleet's shared state (false); needs `peers` and a number below "
     "`siblings`"},
    {"ochregrade.fleet.agreement", live, "flag",
     "whether it asks for newer settings and lists that others act on (true)"},
    {"ochregrade.fleet.probe_ms", live, "time", "how often another member is probed (1000)"},
    {"ochregrade.fleet.gossip_ms", live, "time", "how often news goes out while there is some (100)"},
    {"ochregrade.fleet.sync_ms", live, "time", "how often a digest is compared with another's (2000)"},
    {"settings.classes[].name", live, "text", "the class, as in `X-Service-Class`"},
    {"settings.classes[].effect", live, "word", "`repeatable`, `by_key` or `once`"},
    {"settings.classes[].dedup-scope", live, "word", "`all`, `zone` or `cell`"},
    {"settings.classes[].dedup-window-ms", live, "time", "how long servers drop repeats by key"},
    {"settings.classes[].on-time-ms", live, "time", "the aim: an answer within it earns full worth"},
    {"settings.classes[].aim-stretch", live, "amount",
     "the aim grows by this multiple of the request's work"},
    {"settings.classes[].credit", live, "amount", "worth of a request, against other classes"},
    {"settings.classes[].give-up-ms", live, "time", "the longest that a client waits (3000)"},
    {"settings.classes[].late-value", unused, "", "the platform's"},
    {"settings.classes[].stream", unused, "", "the platform's"},
    {"settings.azs[]", live, "text", "the zones"},
    {"settings.my-zone", live, "text", "this sidecar's"},
    {"settings.membership-mode", live, "word", "`pushed` or `on_request`"},
    {"settings.siblings", live, "whole number", "sidecars that share the servers, this one included"},
    {"settings.my-number", live, "whole number", "of these, from 0"},
    {"settings.limits.max-attempts", live, "whole number", "attempts for one request, the first included"},
    {"settings.limits.parallel-tries", live, "flag", "two attempts of one request may be out together"},
    {"settings.limits.may-cancel", live, "flag", "attempts may be given up early"},
    {"settings.limits.may-probe", live, "flag", "servers may be probed"},
    {"settings.limits.may-tell", live, "flag", "datagrams may be sent to other sidecars"},
    {"settings.limits.connect-timeout-ms", live, "time", "for a connection to come up"},
    {"settings.limits.idle-close-ms", live, "time", "servers close a connection idle for this long"},
    {"settings.limits.max-retry-after-ms", live, "time", "the longest advice in `Retry-After`"},
    {"settings.limits.*", unused, "", "the platform's"},
    {"settings.rules.ask-within-ms", live, "time",
     "four times this after a failed call the list counts as known; pauses between calls keep within it"},
    {"settings.rules.cold-from", live, "share", "what a server does at least when it has just started"},
    {"settings.rules.fall-multiple", live, "amount", "of what it can do, that fells a cold server"},
    {"settings.rules.warm-within-ms", live, "time", "after which a server does all it can"},
    {"settings.rules.*", unused, "", "the platform's"},
    {"settings.fees.cross-zone", live, "amount", "for an attempt that leaves the zone"},
    {"settings.fees.probe", live, "amount", "for a probe"},
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

// What the table says of a path: it is a field, it has fields below it, or it is unknown.
struct Lookup {
    const FieldInfo* field = nullptr;
    bool has_fields_below = false;
};

// Whether `path` lies below `parent`: "a.b" and "a[]" below "a".
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
    // "settings.limits.*" says nothing of settings.limits itself: other fields are below it.
    if (found.has_fields_below) found.field = nullptr;
    return found;
}

// Copies a document without its unknown and start-only fields, and collects the paths of unknown ones.
class DocumentFilter {
public:
    explicit DocumentFilter(std::size_t max_unknown) : max_unknown_(max_unknown) {}

    // `path` names items of lists by their index, `pattern` by "[]" as in the table. None: left out.
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

std::vector<std::string> unknown_fields(const json& config, std::size_t most) {
    DocumentFilter filter(most);
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
