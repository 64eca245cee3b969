#include "lab/experiment.hpp"

#include <map>

#include "lab/toml_table.hpp"

namespace ochregrade::lab {

namespace {

constexpr double kLongestFault = 1e9;        // seconds: no bound but that of a sensible number
constexpr double kLongestTimeout = 600'000;  // ms
constexpr double kLongestWork = 10'000;      // ms
constexpr int kMaxFleet = 2000;              // sidecars, and servers
constexpr int kMaxRetries = 2;               // the platform's bound on a client's retries

const std::map<std::string, FaultKind> kFaultKinds = [] {
    std::map<std::string, FaultKind> kinds;
    for (int i = 0; i <= static_cast<int>(FaultKind::settings); ++i) {
        const auto kind = static_cast<FaultKind>(i);
        kinds.emplace(to_string(kind), kind);
    }
    return kinds;
}();

const std::map<std::string, ServerMode> kServerModes{{"ok", ServerMode::ok},
                                                     {"silent", ServerMode::silent},
                                                     {"fail_fast", ServerMode::fail_fast},
                                                     {"fail_slow", ServerMode::fail_slow},
                                                     {"lose_answers", ServerMode::lose_answers},
                                                     {"reset", ServerMode::reset}};

template <class Value>
Value parse_choice(const std::map<std::string, Value>& choices, const std::string& text,
                   const std::string& field) {
    const auto found = choices.find(text);
    if (found != choices.end()) return found->second;
    std::string names;
    for (const auto& [name, value] : choices) names += (names.empty() ? "" : ", ") + name;
    throw ExperimentError(field, "`" + text + "` is not one of " + names);
}

LoadClass read_class(TomlTable& table) {
    LoadClass load_class;
    load_class.name.clear();
    table.read("name", load_class.name);
    if (load_class.name.empty() || load_class.name.find_first_of("/?# ") != std::string::npos)
        throw ExperimentError(table.path_of("name"), "must be a name without `/`, `?`, `#` or spaces");
    table.read("once", load_class.not_idempotent);
    table.read("share", load_class.share, 0.001, 1000);
    table.read("worth", load_class.priority_weight, 0, 1e6);
    table.read("time_left_ms", load_class.timeout_ms, 1, kLongestTimeout);
    table.read("on_time_ms", load_class.latency_objective_ms, 1, kLongestTimeout);
    return load_class;
}

Fault read_fault(TomlTable& table) {
    Fault fault;
    std::string kind;
    std::string mode = "silent";
    std::string direction = "both";
    table.read("kind", kind);
    if (kind.empty()) throw ExperimentError(table.path_of("kind"), "is required");
    fault.kind = parse_choice(kFaultKinds, kind, table.path_of("kind"));
    table.read("at_s", fault.at_s, 0, kLongestFault);
    table.read("for_s", fault.for_s, 0, kLongestFault);
    table.read("share", fault.share, 0, 1);
    table.read("mode", mode);
    fault.mode = parse_choice(kServerModes, mode, table.path_of("mode"));
    table.read("zone", fault.zone);
    table.read("direction", direction);
    if (direction != "both" && direction != "in" && direction != "out")
        throw ExperimentError(table.path_of("direction"), "must be `in`, `out` or `both`");
    fault.inbound = direction != "out";
    fault.outbound = direction != "in";
    table.read("probability", fault.probability, 0, 1);
    table.read("rollout", fault.rollout, 0, 1);
    return fault;
}

void read_run(TomlTable& table, Experiment& experiment) {
    table.read("name", experiment.name);
    std::int64_t seed = 1;
    table.read("seed", seed, 0, INT64_MAX);
    experiment.seed = static_cast<std::uint64_t>(seed);
    table.read("seconds", experiment.seconds, 0.5, 3600);
    table.read("warmup_s", experiment.warmup_s, 0, 600);
    table.read("ready_s", experiment.ready_s, 1, 600);
}

void read_fleet(TomlTable& table, Experiment& experiment) {
    table.read("sidecars", experiment.sidecars, 1, kMaxFleet);
    table.read_names("zones", experiment.zones);
    if (experiment.zones.empty()) throw ExperimentError(table.path_of("zones"), "one zone at least");
    table.read("shared", experiment.shared);
    table.read("agreement", experiment.agreement);
}

void read_servers(TomlTable& table, Experiment& experiment) {
    table.read("count", experiment.servers, 1, kMaxFleet);
    table.read("work_ms", experiment.work_ms, 0, kLongestWork);
    table.read("speed_spread", experiment.speed_spread, 0, 0.95);
    table.read("concurrency", experiment.server_concurrency, 1, 10000);
    table.read("connections", experiment.server_connections, 1, 100000);
    table.read("queue_ms", experiment.queue_ms, 0, 60000);
    table.read("handshake_ms", experiment.handshake_ms, 0, kLongestWork);
    table.read("idle_close_ms", experiment.idle_close_ms, 100, kLongestTimeout);
    table.read("cold_from", experiment.slow_start_least_share, 0.01, 1);
    table.read("warm_ms", experiment.slow_start_ms, 0, kLongestTimeout);
}

void read_load(TomlTable& table, Experiment& experiment) {
    table.read("rate", experiment.rate, 0, 100000);
    table.read("heavy_share", experiment.heavy_share, 0, 1);
    table.read("heavy_multiple", experiment.heavy_multiple, 1, 1000);
    table.read("time_left_ms", experiment.timeout_ms, 1, kLongestTimeout);
    table.read("on_time_ms", experiment.latency_objective_ms, 1, kLongestTimeout);
    table.read("retries", experiment.retries, 0, kMaxRetries);
    table.read("connections", experiment.client_connections, 1, 1000);
    std::vector<LoadClass> classes;
    const int count =
        table.read_tables("classes", [&](TomlTable& entry) { classes.push_back(read_class(entry)); });
    if (count == 0) throw ExperimentError(table.path_of("classes"), "one class at least");
    if (count > 0) experiment.classes = std::move(classes);
}

// What a class leaves open is as the load has it.
void apply_class_defaults(Experiment& experiment) {
    for (LoadClass& load_class : experiment.classes) {
        if (load_class.timeout_ms == 0) load_class.timeout_ms = experiment.timeout_ms;
        if (load_class.latency_objective_ms == 0)
            load_class.latency_objective_ms = experiment.latency_objective_ms;
    }
}

void read_relay(TomlTable& table, Experiment& experiment) {
    table.read("delay_ms", experiment.relay_delay_ms, 0, 60000);
    table.read("loss", experiment.relay_loss, 0, 1);
    table.read("duplicate", experiment.relay_duplicate, 0, 1);
}

toml::table parse_file(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        const auto& position = error.source().begin;
        throw ExperimentError("(file)", path + ":" + std::to_string(position.line) + ":" +
                                            std::to_string(position.column) + ": " +
                                            std::string(error.description()));
    }
}

}  // namespace

Experiment load_experiment(const std::string& path) {
    const toml::table file = parse_file(path);
    Experiment experiment;
    TomlTable top(file, "");
    read_run(top, experiment);
    top.read_table("fleet", [&](TomlTable& table) { read_fleet(table, experiment); });
    top.read_table("servers", [&](TomlTable& table) { read_servers(table, experiment); });
    top.read_table("load", [&](TomlTable& table) { read_load(table, experiment); });
    apply_class_defaults(experiment);
    top.read_table("relay", [&](TomlTable& table) { read_relay(table, experiment); });
    top.read_tables("faults", [&](TomlTable& entry) { experiment.faults.push_back(read_fault(entry)); });
    top.reject_unknown_fields();
    if (experiment.warmup_s >= experiment.seconds)
        throw ExperimentError("warmup_s", "must be shorter than `seconds`");
    return experiment;
}

}  // namespace ochregrade::lab
