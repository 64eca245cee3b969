#include "lab/experiment.hpp"

#include <toml++/toml.h>

#include <map>
#include <set>

namespace ochregrade::lab {

namespace {

// A TOML table that knows its path, takes each field once and complains of any it was not asked for.
class Table {
public:
    Table(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

    std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

    template <class T>
    void take(const std::string& key, T& into, double low, double high) {
        seen_.insert(key);
        const toml::node* node = table_.get(key);
        if (!node) return;
        if constexpr (std::is_same_v<T, bool>) {
            const auto value = node->value_exact<bool>();
            if (!value) throw ExperimentError(path(key), "a flag (true or false) is wanted");
            into = *value;
        } else if constexpr (std::is_integral_v<T>) {
            const auto value = node->value_exact<std::int64_t>();
            if (!value) throw ExperimentError(path(key), "a whole number is wanted");
            if (*value < low || *value > high) throw out_of(key, low, high);
            into = static_cast<T>(*value);
        } else {
            const auto value = node->value<double>();
            if (!value || node->is_string()) throw ExperimentError(path(key), "a number is wanted");
            if (!(*value >= low && *value <= high)) throw out_of(key, low, high);
            into = *value;
        }
    }

    void take(const std::string& key, std::string& into) {
        seen_.insert(key);
        if (const toml::node* node = table_.get(key)) {
            const auto value = node->value_exact<std::string>();
            if (!value) throw ExperimentError(path(key), "a text is wanted");
            into = *value;
        }
    }

    const toml::array* array(const std::string& key) {
        seen_.insert(key);
        const toml::node* node = table_.get(key);
        if (node && !node->is_array()) throw ExperimentError(path(key), "a list is wanted");
        return node ? node->as_array() : nullptr;
    }

    const toml::table* table(const std::string& key) {
        seen_.insert(key);
        const toml::node* node = table_.get(key);
        if (node && !node->is_table()) throw ExperimentError(path(key), "a table is wanted");
        return node ? node->as_table() : nullptr;
    }

    // A misspelt field would silently be its default: it is refused instead.
    void finish() const {
        for (const auto& [key, value] : table_)
            if (!seen_.count(std::string(key.str())))
                throw ExperimentError(path(std::string(key.str())), "unknown field");
    }

private:
    ExperimentError out_of(const std::string& key, double low, double high) const {
        return ExperimentError(path(key), "must lie from " + toml_number(low) + " to " + toml_number(high));
    }
    static std::string toml_number(double value) {
        std::string text = std::to_string(value);
        while (text.back() == '0') text.pop_back();
        if (text.back() == '.') text.pop_back();
        return text;
    }

    const toml::table& table_;
    std::string path_;
    std::set<std::string> seen_;
};

constexpr double kHuge = 1e9;

const std::map<std::string, Fault::Kind> kKinds{
    {"kill", Fault::Kind::kill},           {"stop", Fault::Kind::stop},
    {"restart", Fault::Kind::restart},     {"servers", Fault::Kind::servers},
    {"zone", Fault::Kind::zone},           {"discovery", Fault::Kind::discovery},
    {"partition", Fault::Kind::partition}, {"loss", Fault::Kind::loss},
    {"drain", Fault::Kind::drain},         {"anew", Fault::Kind::anew},
    {"stall", Fault::Kind::stall},         {"settings", Fault::Kind::settings},
    {"silence", Fault::Kind::silence},     {"replace", Fault::Kind::replace}};

const std::map<std::string, ServerMode> kModes{{"ok", ServerMode::ok},
                                               {"silent", ServerMode::silent},
                                               {"fail_fast", ServerMode::fail_fast},
                                               {"fail_slow", ServerMode::fail_slow},
                                               {"lose_answers", ServerMode::lose_answers},
                                               {"reset", ServerMode::reset}};

template <class Value>
Value word(const std::map<std::string, Value>& words, const std::string& text, const std::string& field) {
    const auto found = words.find(text);
    if (found != words.end()) return found->second;
    std::string known;
    for (const auto& [name, value] : words) known += (known.empty() ? "" : ", ") + name;
    throw ExperimentError(field, "`" + text + "` is none of " + known);
}

LoadClass read_class(const toml::table& table, const std::string& path) {
    Table t(table, path);
    LoadClass c;
    c.name.clear();
    t.take("name", c.name);
    if (c.name.empty() || c.name.find_first_of("/?# ") != std::string::npos)
        throw ExperimentError(t.path("name"), "a word is wanted");
    t.take("once", c.once, 0, 0);
    t.take("share", c.share, 0.001, 1000);
    t.take("worth", c.worth, 0, 1e6);
    t.take("time_left_ms", c.time_left_ms, 1, 600000);
    t.take("on_time_ms", c.on_time_ms, 1, 600000);
    t.finish();
    return c;
}

Fault read_fault(const toml::table& table, const std::string& path) {
    Table t(table, path);
    Fault fault{};
    std::string kind, mode = "silent", direction = "both";
    t.take("kind", kind);
    if (kind.empty()) throw ExperimentError(t.path("kind"), "is required");
    fault.kind = word(kKinds, kind, t.path("kind"));
    t.take("at_s", fault.at_s, 0, kHuge);
    t.take("for_s", fault.for_s, 0, kHuge);
    t.take("share", fault.share, 0, 1);
    t.take("mode", mode);
    fault.mode = word(kModes, mode, t.path("mode"));
    t.take("zone", fault.zone);
    t.take("direction", direction);
    if (direction != "both" && direction != "in" && direction != "out")
        throw ExperimentError(t.path("direction"), "`in`, `out` or `both` is wanted");
    fault.inbound = direction != "out";
    fault.outbound = direction != "in";
    t.take("probability", fault.probability, 0, 1);
    t.take("rollout", fault.rollout, 0, 1);
    t.finish();
    return fault;
}

}  // namespace

Experiment load_experiment(const std::string& path) {
    toml::table file;
    try {
        file = toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        const auto& at = error.source().begin;
        throw ExperimentError("(file)", path + ":" + std::to_string(at.line) + ":" +
                                            std::to_string(at.column) + ": " +
                                            std::string(error.description()));
    }
    Experiment e;
    Table top(file, "");
    top.take("name", e.name);
    std::int64_t seed = 1;
    top.take("seed", seed, 0, static_cast<double>(INT64_MAX));
    e.seed = static_cast<std::uint64_t>(seed);
    top.take("seconds", e.seconds, 0.5, 3600);
    top.take("warmup_s", e.warmup_s, 0, 600);
    top.take("ready_s", e.ready_s, 1, 600);

    if (const toml::table* fleet = top.table("fleet")) {
        Table t(*fleet, "fleet");
        t.take("sidecars", e.sidecars, 1, 2000);
        if (const toml::array* zones = t.array("zones")) {
            e.zones.clear();
            for (std::size_t i = 0; i < zones->size(); ++i) {
                const auto zone = (*zones)[i].value_exact<std::string>();
                if (!zone || zone->empty())
                    throw ExperimentError("fleet.zones[" + std::to_string(i) + "]", "a name");
                e.zones.push_back(*zone);
            }
            if (e.zones.empty()) throw ExperimentError("fleet.zones", "one zone at least");
        }
        t.take("shared", e.shared, 0, 0);
        t.take("agreement", e.agreement, 0, 0);
        t.finish();
    }
    if (const toml::table* servers = top.table("servers")) {
        Table t(*servers, "servers");
        t.take("count", e.servers, 1, 2000);
        t.take("work_ms", e.work_ms, 0, 10000);
        t.take("speed_spread", e.speed_spread, 0, 0.95);
        t.take("concurrency", e.server_concurrency, 1, 10000);
        t.take("connections", e.server_connections, 1, 100000);
        t.take("queue_ms", e.queue_ms, 0, 60000);
        t.take("handshake_ms", e.handshake_ms, 0, 10000);
        t.take("idle_close_ms", e.idle_close_ms, 100, 600000);
        t.take("cold_from", e.cold_from, 0.01, 1);
        t.take("warm_ms", e.warm_ms, 0, 600000);
        t.finish();
    }
    if (const toml::table* load = top.table("load")) {
        Table t(*load, "load");
        t.take("rate", e.rate, 0, 100000);
        t.take("heavy_share", e.heavy_share, 0, 1);
        t.take("heavy_multiple", e.heavy_multiple, 1, 1000);
        t.take("time_left_ms", e.time_left_ms, 1, 600000);
        t.take("on_time_ms", e.on_time_ms, 1, 600000);
        t.take("retries", e.retries, 0, 2);
        t.take("connections", e.client_connections, 1, 1000);
        if (const toml::array* classes = t.array("classes")) {
            e.classes.clear();
            for (std::size_t i = 0; i < classes->size(); ++i) {
                const std::string where = "load.classes[" + std::to_string(i) + "]";
                const toml::table* one = (*classes)[i].as_table();
                if (!one) throw ExperimentError(where, "a table is wanted");
                e.classes.push_back(read_class(*one, where));
            }
            if (e.classes.empty()) throw ExperimentError("load.classes", "one class at least");
        }
        t.finish();
    }
    for (LoadClass& c : e.classes) {
        if (c.time_left_ms == 0) c.time_left_ms = e.time_left_ms;
        if (c.on_time_ms == 0) c.on_time_ms = e.on_time_ms;
    }
    if (const toml::table* relay = top.table("relay")) {
        Table t(*relay, "relay");
        t.take("delay_ms", e.relay_delay_ms, 0, 60000);
        t.take("loss", e.relay_loss, 0, 1);
        t.take("duplicate", e.relay_duplicate, 0, 1);
        t.finish();
    }
    if (const toml::array* faults = top.array("faults")) {
        for (std::size_t i = 0; i < faults->size(); ++i) {
            const std::string where = "faults[" + std::to_string(i) + "]";
            const toml::table* fault = (*faults)[i].as_table();
            if (!fault) throw ExperimentError(where, "a table is wanted");
            e.faults.push_back(read_fault(*fault, where));
        }
    }
    top.finish();
    if (e.warmup_s >= e.seconds) throw ExperimentError("warmup_s", "must be shorter than `seconds`");
    return e;
}

}  // namespace ochregrade::lab
