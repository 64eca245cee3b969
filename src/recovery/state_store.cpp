#include "recovery/state_store.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <random>
#include <sstream>

#include "common/environment.hpp"
#include "common/log.hpp"
#include "control/config_schema.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

constexpr const char* kConfig = "config";
constexpr const char* kWorld = "world";
constexpr const char* kStarts = "starts";
constexpr double kSlack = 1000;  // clocks of one machine agree within this

double milliseconds(clockid_t clock) {
    timespec t{};
    clock_gettime(clock, &t);
    return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) / 1e6;
}

void put(json& j, const Timestamps& s) {
    j["wall_ms"] = s.wall, j["up_ms"] = s.uptime, j["boot"] = s.boot_id;
}
Timestamps stamp(const json& j) {
    return {j.at("wall_ms").get<double>(), j.at("up_ms").get<double>(), j.at("boot").get<std::string>()};
}

const char* to_string(EndpointState phase) {
    return phase == EndpointState::serving    ? "SERVING"
           : phase == EndpointState::draining ? "DRAINING"
                                              : "DELETED";
}

json list_of(const EndpointList& list) {
    json hosts = json::array();
    for (const ListedEndpoint& h : list.endpoints) {
        std::ostringstream dial;
        dial << h.address;
        hosts.push_back({{"host", h.name},
                         {"dial", dial.str()},
                         {"site", h.zone},
                         {"block", h.cell},
                         {"health", to_string(h.state)},
                         {"born_ms", h.started_at},
                         {"share", h.capacity_weight}});
    }
    return {{"seq", list.seq}, {"whole", true}, {"hosts", hosts}};
}

// A generation's document says nothing of what is read at the start only.
Config read_document(json document, const std::string& seed, const json* known) {
    document["seed"] = seed;
    if (known) document["known"] = *known;
    return read_config(document);
}

json text_at(const json& j, const char* field) { return parse_config(j.at(field).get<std::string>(), field); }

// A document as this version writes it: a record of a version before may use a section's former name.
std::string in_present_form(const std::string& document) {
    try {
        return parse_config(document, "file").dump();
    } catch (const ConfigError&) {
        return document;
    }
}

std::string sense_of_config(const storage::Record& record) {
    try {
        const json j = json::parse(record.payload);
        read_document(text_at(j, "good"), "0", nullptr);  // the same checks as for a live change
        j.at("next").get<std::uint64_t>();
        j.at("file").get<std::string>();
        j.at("on_trial").get<bool>();
        for (const json& e : j.at("kept")) {
            read_document(text_at(e, "config"), "0", nullptr);
            for (const char* number : {"generation", "content_of"}) e.at(number).get<std::uint64_t>();
            e.at("at_ms").get<double>();
        }
    } catch (const std::exception& error) {
        return error.what();
    }
    return {};
}

std::string sense_of_world(const storage::Record& record) {
    try {
        const json j = json::parse(record.payload);
        stamp(j);
        if (!parse_endpoint_list(j.at("list")).complete) return "its list is not whole";
        j.at("discovery").get<std::string>();
        for (const json& l : j.at("learnt")) {
            l.at("host").get<std::string>();
            for (const char* figure : {"born_ms", "removed_for_ms", "pace"})
                if (!std::isfinite(l.at(figure).get<double>())) return "a figure makes no sense";
        }
    } catch (const std::exception& error) {
        return error.what();
    }
    return {};
}

bool set(const char* text) { return text && *text && std::string_view(text) != "0"; }

}  // namespace

Timestamps now_by_the_system() {
    Timestamps s{milliseconds(CLOCK_REALTIME), milliseconds(CLOCK_BOOTTIME), {}};
    std::ifstream("/proc/sys/kernel/random/boot_id") >> s.boot_id;
    return s;
}

std::optional<Millis> age(const Timestamps& then, const Timestamps& now) {
    if (!then.boot_id.empty() && then.boot_id == now.boot_id) {
        const double past = now.uptime - then.uptime;
        return past < -kSlack ? std::nullopt : std::optional(std::max(0.0, past));
    }
    // Another start of the machine: what was written before it is no younger than that.
    const double past = now.wall - then.wall;
    if (!(past >= -kSlack)) return {};
    return std::max({0.0, past, now.uptime});
}

std::unique_ptr<StateStore> StateStore::open(const std::string& path) {
    storage::OpenedDirectory opened = storage::open_directory(path);
    const bool had = opened.directory != nullptr;
    auto keeper = std::make_unique<StateStore>(std::move(opened.directory), now_by_the_system);
    if (!had) {
        keeper->unusable_reason_ = opened.error == std::errc::operation_would_block ? "another process has it"
                                                                                    : opened.error.message();
        log_line("state: the folder can't be had, and nothing is kept: " + keeper->unusable_reason_);
    }
    return keeper;
}

StateStore::StateStore(std::shared_ptr<storage::Directory> folder, Now now)
    : folder_(std::move(folder)), now_(std::move(now)) {
    if (folder_)
        store_ = std::make_shared<storage::RecordStore>(
            *folder_, [](const std::string& line) { log_line("state: " + line); });
}

RecoveredState StateStore::recover() {
    RecoveredState r;
    if (!store_) return r;
    const Timestamps now = now_();
    int starts = 0;
    const auto counted = store_->load(kStarts, [](const storage::Record& record) {
        const json j = json::parse(record.payload, nullptr, false);
        return j.is_object() && j.contains("starts") && j["starts"].is_number_unsigned() ? "" : "no number";
    });
    if (counted) starts = json::parse(counted->payload).at("starts").get<int>();
    // On the disk before any of the state is used: it may be what ends this life.
    if (const std::error_code error = store_->save(kStarts, json{{"starts", starts + 1}}.dump())) {
        unusable_reason_ = std::string("it can't be written and so is not used: ") + error.message();
        log_line("state: " + unusable_reason_);
        return r;
    }
    r.crash_loop = starts >= kMaxShortRuns;
    if (r.crash_loop) {
        log_line("state: started without it: the last " + std::to_string(starts) + " lives were short");
        for (const char* kind : {kConfig, kWorld})
            store_->quarantine_all(kind, "lives that used it were short");
    }
    if (const auto record = store_->load(kConfig, sense_of_config)) {
        const json j = json::parse(record->payload);
        r.last_known_good = text_at(j, "good");
        r.next_version = j.at("next");
        r.file = in_present_form(j.at("file"));
        r.canary_interrupted = j.at("on_trial");
        for (const json& e : j.at("kept")) {
            auto snapshot = std::make_shared<ConfigSnapshot>();
            snapshot->version = e.at("generation");
            snapshot->config = read_document(text_at(e, "config"), "0", nullptr);
            r.versions.push_back({std::move(snapshot), e.at("content_of"), ConfigVersions::Source::recovery,
                                  ConfigVersions::State::good, e.at("at_ms"), "from an earlier life"});
        }
    }
    if (const auto record = store_->load(kWorld, sense_of_world)) {
        const json j = json::parse(record->payload);
        const auto past = age(stamp(j), now);
        if (past.value_or(kOldestList) <= kOldestList) {
            r.endpoints = parse_endpoint_list(j.at("list"));
            r.discovery = j.at("discovery");
        } else {
            log_line("state: the list of servers is too old to start from");
        }
        for (const json& l : j.at("learnt")) {
            if (!past || !r.endpoints) break;  // of unknown age: it may all be over
            NamedEndpointSnapshot s{l.at("host"), l.at("born_ms"),
                                    l.at("removed_for_ms").get<double>() - *past,
                                    *past <= kOldestPace ? l.at("pace").get<double>() : 0};
            if (s.ejected_for > 0 || s.latency_ratio > 0) r.snapshots.push_back(std::move(s));
        }
    }
    writer_ = std::make_unique<storage::BackgroundWriter>(folder_, store_);
    return r;
}

void StateStore::save_config(const ConfigVersions& generations, const std::string& file) {
    if (!writer_) return;
    const auto& trial = generations.canary();
    const ConfigVersions::Entry* good = trial ? generations.find(trial->fallback) : &generations.current();
    if (!good) return;
    json j;
    j["good"] = good->snapshot->config.document;  // as text: parsing it again would cost the loop its time
    j["file"] = file;
    j["next"] = generations.next_version();
    j["on_trial"] = trial.has_value();
    j["kept"] = json::array();
    for (const ConfigVersions::Entry& e : generations.retained())
        if (e.state == ConfigVersions::State::good)
            j["kept"].push_back({{"generation", e.number()},
                                 {"content_of", e.content_version},
                                 {"at_ms", e.committed_at},
                                 {"config", e.snapshot->config.document}});
    std::string text = j.dump();
    if (text == last_config_) return;
    last_config_ = text;
    writer_->submit(kConfig, std::move(text));
}

void StateStore::save_endpoints(const EndpointList& list, const std::string& discovery,
                                const std::vector<NamedEndpointSnapshot>& learnt) {
    if (!writer_) return;
    json j = {{"list", list_of(list)}, {"discovery", discovery}, {"learnt", json::array()}};
    // What has changed since is told by all but the figures that change by themselves.
    std::string same = j.dump();
    for (const NamedEndpointSnapshot& l : learnt)
        if (l.ejected_for > 0) same += l.name;
    if (same == last_endpoints_) return;
    last_endpoints_ = std::move(same);
    for (const NamedEndpointSnapshot& l : learnt)
        j["learnt"].push_back({{"host", l.name},
                               {"born_ms", l.started_at},
                               {"removed_for_ms", l.ejected_for},
                               {"pace", l.latency_ratio}});
    put(j, now_());
    writer_->submit(kWorld, j.dump());
}

void StateStore::confirm_stable_uptime() {
    if (writer_) writer_->submit(kStarts, json{{"starts", 0}}.dump());
}

Start decide_start(const std::optional<json>& file, const RecoveredState& recovered) {
    Start s;
    if (file) {
        s.config = read_config(*file);
        s.file_document = s.config.document;
        const json* known = file->contains("known") ? &file->at("known") : nullptr;
        // The last word counts. A file that says what it said when it was last accepted is no new word, but
        // what operators did since then, or a trial that was not won, is.
        if (recovered.last_known_good && recovered.file == s.file_document &&
            recovered.last_known_good->dump() != s.file_document) {
            try {
                json document = *recovered.last_known_good;
                for (const char* field : {"name", "listen"}) document[field] = file->at(field);
                const json mine = json::parse(s.file_document);
                if (mine.contains("ochregrade")) {
                    for (const char* field : {"admin", "state"})
                        if (mine["ochregrade"].contains(field))
                            document["ochregrade"][field] = mine["ochregrade"][field];
                }
                const Millis lived = s.config.stable_uptime;
                s.config = read_document(document, file->at("seed").get<std::string>(), known);
                s.config.stable_uptime = lived;  // as all that is read at the start only
                s.source = ConfigVersions::Source::recovery;
                log_line(recovered.canary_interrupted
                             ? "state: a trial was not over when the last life ended: the last "
                               "known good configuration is in force"
                             : "state: the configuration last accepted is in force");
            } catch (const std::exception& error) {
                log_line(std::string("state: the configuration last accepted is not used: ") + error.what());
            }
        }
    } else if (recovered.last_known_good) {
        std::ostringstream seed;
        std::random_device device;
        seed << std::hex << device() << device();
        s.config = read_document(*recovered.last_known_good, seed.str().substr(0, 16), nullptr);
        s.source = ConfigVersions::Source::recovery;
    }
    std::ostringstream discovery;
    discovery << s.config.discovery_address;
    // The platform's list, unless ours is of the same discovery and newer.
    const bool same = recovered.discovery == discovery.str();
    if (recovered.endpoints &&
        (!s.config.known_endpoints || (same && recovered.endpoints->seq > s.config.known_endpoints->seq))) {
        s.config.known_endpoints = recovered.endpoints;
        s.endpoints_restored = true;
    }
    s.recovered = recovered;
    return s;
}

Start prepare_start() {
    std::optional<json> file;
    std::optional<ConfigError> fault;
    std::string folder;
    try {
        file = start_document();
        const Config config = read_config(*file);
        folder = config.state_directory;
        log_unknown_fields(*file);
    } catch (const ConfigError& error) {
        fault = error;
        file.reset();
    }
    if (const char* path = own_variable("STATE_DIR"); path && *path) folder = path;
    std::unique_ptr<StateStore> keeper;
    RecoveredState recovered;
    if (!folder.empty() && (!fault || set(own_variable("LAST_KNOWN_GOOD")))) {
        keeper = StateStore::open(folder);
        recovered = keeper->recover();
    }
    if (fault) {
        if (!recovered.last_known_good) throw *fault;
        for (const auto& [variable, field] : {std::pair{"NODE_NAME", "name"}, {"NODE_LISTEN", "listen"}})
            if (const char* text = std::getenv(variable); text && *text)
                (*recovered.last_known_good)[field] = text;
        log_line(fault->what());
        log_line("state: the file is refused and the last known good configuration steps in");
    }
    Start s = decide_start(file, recovered);
    s.keeper = std::move(keeper);
    return s;
}

}  // namespace ochregrade::sidecar
