#include "simulator/instance_config.hpp"

#include <algorithm>

#include "simulator/vocabulary.hpp"

namespace ochregrade::wire {

namespace {

std::vector<std::string> split_at_commas(std::string_view list) {
    std::vector<std::string> items;
    while (!list.empty()) {
        const auto comma = list.find(',');
        items.emplace_back(list.substr(0, comma));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return items;
}

RequestClass read_class(const Message& start, const std::string& prefix) {
    RequestClass request_class;
    request_class.idempotency = read_idempotency(start, prefix + "effect");
    if (start.has(prefix + "dedup-scope"))
        request_class.dedup_scope = read_dedup_scope(start, prefix + "dedup-scope");
    request_class.dedup_window = start.number_or(prefix + "dedup-window-ms", request_class.dedup_window);
    request_class.latency_objective = start.number(prefix + "on-time-ms");
    request_class.objective_per_effort =
        start.number_or(prefix + "aim-stretch", request_class.objective_per_effort);
    request_class.priority_weight = start.number_or(prefix + "credit", request_class.priority_weight);
    return request_class;
}

void read_classes(const Message& start, InstanceConfig& config) {
    const std::uint64_t count = start.integer("classes.count");
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string prefix = "classes." + std::to_string(i) + ".";
        config.settings.classes.push_back(read_class(start, prefix));
        config.classes.emplace_back(start.text(prefix + "name"));
    }
}

void read_limits(const Message& start, Settings& settings) {
    settings.max_attempts =
        static_cast<std::uint32_t>(start.integer_or("limits.max-attempts", settings.max_attempts));
    settings.hedging_allowed = start.flag_or("limits.parallel-tries", settings.hedging_allowed);
    settings.cancel_allowed = start.flag_or("limits.may-cancel", false);
    settings.probes_allowed = start.flag_or("limits.may-probe", false);
    settings.gossip_allowed = start.flag_or("limits.may-tell", false);
}

void read_rules_and_fees(const Message& start, Settings& settings) {
    settings.slow_start_least_share = start.number_or("rules.cold-from", settings.slow_start_least_share);
    settings.slow_start_overload_factor =
        start.number_or("rules.fall-multiple", settings.slow_start_overload_factor);
    settings.poll_interval = start.number_or("rules.ask-within-ms", settings.poll_interval);
    settings.slow_start_duration = start.number_or("rules.warm-within-ms", settings.slow_start_duration);
    settings.fees.cross_zone = start.number_or("fees.cross-zone", settings.fees.cross_zone);
    settings.fees.probe = start.number_or("fees.probe", settings.fees.probe);
}

}  // namespace

ZoneId InstanceConfig::find_or_add_zone(std::string_view name) {
    const auto position = std::find(zones.begin(), zones.end(), name);
    const auto id = static_cast<ZoneId>(position - zones.begin());
    if (position == zones.end()) zones.emplace_back(name);
    return id;
}

InstanceConfig read_instance_config(const Message& start) {
    InstanceConfig config;
    Settings& settings = config.settings;
    if (start.has("azs")) config.zones = split_at_commas(start.text("azs"));
    if (start.has("my-zone")) settings.local_zone = config.find_or_add_zone(start.text("my-zone"));
    read_classes(start, config);
    if (start.has("membership-mode"))
        settings.polled_discovery = start.text("membership-mode") == "on_request";
    settings.sidecar_count = static_cast<std::uint32_t>(start.integer_or("siblings", settings.sidecar_count));
    read_limits(start, settings);
    settings.sidecar_index = static_cast<std::uint32_t>(start.integer_or("my-number", 0));
    read_rules_and_fees(start, settings);
    return config;
}

}  // namespace ochregrade::wire
