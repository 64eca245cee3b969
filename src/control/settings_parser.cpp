// Reads the section "settings", which configures how the balancer treats requests, retries and endpoints.
// docs/CONFIGURATION.md lists the fields with their units.
#include <algorithm>

#include "control/config_parser.hpp"
#include "control/json_field.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr Millis kDefaultDeadline = 3000;

void read_classes(Config& config, const JsonField& settings) {
    config.longest_deadline = 0;
    const std::vector<JsonField> items = settings["classes"].items();
    if (items.empty() && settings.has("classes")) settings["classes"].report("has no class");
    for (const JsonField& item : items) {
        RequestClass request_class;
        std::string name = item["name"].text();
        if (item.has("name") && config.class_index(name) < config.classes.size())
            item["name"].report("is the name of another class too");
        config.classes.push_back(std::move(name));
        request_class.idempotency =
            item["effect"].named<Idempotency>({{"repeatable", Idempotency::idempotent},
                                               {"by_key", Idempotency::idempotent_with_key},
                                               {"once", Idempotency::not_idempotent}});
        if (item.has("dedup-scope"))
            request_class.dedup_scope = item["dedup-scope"].named<DedupScope>(
                {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
        if (item.has("dedup-window-ms")) request_class.dedup_window = item["dedup-window-ms"].duration();
        request_class.latency_objective = item["on-time-ms"].duration();
        if (item.has("on-time-ms") && request_class.latency_objective == 0)
            item["on-time-ms"].report("must be over 0");
        if (item.has("aim-stretch")) request_class.objective_per_effort = item["aim-stretch"].non_negative();
        if (item.has("credit")) request_class.priority_weight = item["credit"].non_negative();
        const Millis deadline = item.has("give-up-ms") ? item["give-up-ms"].duration() : kDefaultDeadline;
        config.longest_deadline = std::max(config.longest_deadline, deadline);
        config.settings.classes.push_back(request_class);
    }
}

void read_attempt_limits(Config& config, const JsonField& limits) {
    Settings& settings = config.settings;
    if (limits.has("max-attempts")) settings.max_attempts = limits["max-attempts"].unsigned_integer();
    if (limits.has("max-attempts") && settings.max_attempts == 0)
        limits["max-attempts"].report("must be over 0");
    if (limits.has("parallel-tries")) settings.hedging_allowed = limits["parallel-tries"].flag();
    if (limits.has("may-cancel")) settings.cancel_allowed = limits["may-cancel"].flag();
    if (limits.has("may-probe")) settings.probes_allowed = limits["may-probe"].flag();
    if (limits.has("may-tell")) settings.gossip_allowed = limits["may-tell"].flag();
    if (limits.has("connect-timeout-ms")) config.connect_timeout = limits["connect-timeout-ms"].duration();
    if (limits.has("idle-close-ms")) config.idle_timeout = limits["idle-close-ms"].duration();
    if (limits.has("max-retry-after-ms")) config.max_retry_after = limits["max-retry-after-ms"].duration();
}

void read_rules(Settings& settings, const JsonField& rules) {
    if (rules.has("cold-from")) settings.slow_start_least_share = rules["cold-from"].fraction();
    if (rules.has("fall-multiple"))
        settings.slow_start_overload_factor = rules["fall-multiple"].non_negative();
    if (rules.has("fall-multiple") && settings.slow_start_overload_factor < 1)
        rules["fall-multiple"].report("is under 1");
    if (rules.has("ask-within-ms")) settings.poll_interval = rules["ask-within-ms"].duration();
    if (rules.has("warm-within-ms")) settings.slow_start_duration = rules["warm-within-ms"].duration();
}

void read_fees(Settings& settings, const JsonField& fees) {
    if (fees.has("cross-zone")) settings.fees.cross_zone = fees["cross-zone"].non_negative();
    if (fees.has("probe")) settings.fees.probe = fees["probe"].non_negative();
}

}  // namespace

void read_settings(Config& config, const JsonField& settings) {
    Settings& target = config.settings;
    if (settings.has("azs"))
        for (const JsonField& zone : settings["azs"].items()) zone.text();
    if (settings.has("my-zone")) config.local_zone = settings["my-zone"].text();
    read_classes(config, settings);
    if (settings.has("membership-mode"))
        target.polled_discovery =
            settings["membership-mode"].named<bool>({{"pushed", false}, {"on_request", true}});
    if (settings.has("siblings")) target.sidecar_count = settings["siblings"].unsigned_integer();
    if (settings.has("siblings") && target.sidecar_count == 0) settings["siblings"].report("must be over 0");
    if (settings.has("my-number")) target.sidecar_index = settings["my-number"].unsigned_integer();
    target.cancel_allowed = false;
    if (settings.has("limits")) read_attempt_limits(config, settings["limits"]);
    if (settings.has("rules")) read_rules(target, settings["rules"]);
    if (settings.has("fees")) read_fees(target, settings["fees"]);
}

}  // namespace ochregrade::sidecar
