#include "control/config.hpp"

#define XXH_INLINE_ALL
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>

#include "balancer/settings_validation.hpp"
#include "common/log.hpp"
#include "control/config_schema.hpp"
#include "replication/records.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

struct File {
    explicit File(const char* path) : fd(::open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK)) {}
    ~File() {
        if (fd >= 0) ::close(fd);
    }
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    const int fd;
};

bool same(const struct stat& a, const struct stat& b) {
    return a.st_dev == b.st_dev && a.st_ino == b.st_ino && a.st_size == b.st_size &&
           a.st_mtim.tv_sec == b.st_mtim.tv_sec && a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

constexpr std::size_t kLongestFile = 8 << 20;
constexpr int kDeepest = 32;
constexpr std::size_t kMostComplaints = 50;  // a file that is wrong throughout needs no more
constexpr double kLongestTime = 1e9;         // in ms, over eleven days: beyond that clocks lose count
constexpr int kReads = 5;

using Complaints = std::vector<ValidationError>;

// A place in the JSON that knows its own path, so that a complaint can name it. Complaints are collected and
// reading goes on with a value of no meaning: whoever asked throws them all in the end.
class Field {
public:
    Field(const json* value, std::string path, Complaints& complaints)
        : value_(value), path_(std::move(path)), complaints_(&complaints) {}

    void complain(const std::string& what) const {
        // What has been complained of has no sense that could be complained of again.
        const bool said = std::any_of(complaints_->begin(), complaints_->end(),
                                      [&](const ValidationError& c) { return c.field == path_; });
        if (!said && complaints_->size() < kMostComplaints) complaints_->push_back({path_, what});
    }
    bool has(const std::string& name) const { return child(name).value_ != nullptr; }
    Field operator[](const std::string& name) const {
        Field f = child(name);
        if (!f.value_ && value_ && value_->is_object()) f.complain("is missing");
        return f;
    }
    std::vector<Field> items() const {
        std::vector<Field> all;
        if (!is(&json::is_array, "a list")) return all;
        for (std::size_t i = 0; i < value_->size(); ++i)
            all.emplace_back(&(*value_)[i], path_ + "[" + std::to_string(i) + "]", *complaints_);
        return all;
    }
    std::string text() const {
        return is(&json::is_string, "a text") ? value_->get<std::string>() : std::string();
    }
    double number() const {
        if (!is(&json::is_number, "a number")) return 0;
        const double n = value_->get<double>();
        if (!std::isfinite(n)) return complain("is not a finite number"), 0;
        return n;
    }
    double amount() const {
        const double n = number();
        if (n < 0) return complain("is negative"), 0;
        return n;
    }
    Millis time() const {
        const double n = amount();
        if (n > kLongestTime) return complain("is too long a time"), 0;
        return n;
    }
    double share() const {
        const double n = amount();
        if (n > 1) return complain("is over 1"), 0;
        return n;
    }
    template <class T = std::uint32_t>
    T whole() const {
        if (!is(&json::is_number, "a whole number")) return 0;
        if (!value_->is_number_integer() ||
            (!value_->is_number_unsigned() && value_->get<std::int64_t>() < 0))
            return complain("is not a whole number"), T{};
        const auto n = value_->get<std::uint64_t>();
        if (n > std::numeric_limits<T>::max()) return complain("is too large"), T{};
        return static_cast<T>(n);
    }
    bool flag() const { return is(&json::is_boolean, "true or false") && value_->get<bool>(); }
    template <class Protocol>
    boost::asio::ip::basic_endpoint<Protocol> endpoint() const {
        if (!is(&json::is_string, "a text")) return {};
        const auto parsed = parse<Protocol>(text());
        if (!parsed) complain("is not address:port");
        return parsed.value_or(boost::asio::ip::basic_endpoint<Protocol>());
    }
    template <class T>
    T named(const std::vector<std::pair<const char*, T>>& names) const {
        if (!is(&json::is_string, "a text")) return names.front().second;
        const std::string word = text();
        for (const auto& [name, value] : names)
            if (word == name) return value;
        complain("is not a known word");
        return names.front().second;
    }

    // "127.0.0.1:9000" or "[::1]:9000"
    template <class Protocol>
    static std::optional<boost::asio::ip::basic_endpoint<Protocol>> parse(const std::string& text) {
        const auto colon = text.rfind(':');
        std::uint16_t port = 0;
        boost::system::error_code ec;
        std::string host = text.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        const auto address = boost::asio::ip::make_address(host, ec);
        const char* end = text.data() + text.size();
        if (ec || colon == std::string::npos ||
            std::from_chars(text.data() + colon + 1, end, port).ptr != end || colon + 1 == text.size())
            return {};
        return boost::asio::ip::basic_endpoint<Protocol>{address, port};
    }

private:
    Field child(const std::string& name) const {
        const std::string path = path_.empty() ? name : path_ + "." + name;
        if (!value_) return {nullptr, path, *complaints_};
        if (!value_->is_object()) {
            complain("is not an object");
            return {nullptr, path, *complaints_};
        }
        const auto at = value_->find(name);
        return {at == value_->end() || at->is_null() ? nullptr : &*at, path, *complaints_};
    }
    // Of what is missing it has been said that it is.
    bool is(bool (json::*test)() const noexcept, const char* what) const {
        if (!value_) return false;
        if (!(value_->*test)()) complain(std::string("is not ") + what);
        return (value_->*test)();
    }
    const json* value_;
    std::string path_;
    Complaints* complaints_;
};

EndpointList hosts_at(const Field& field) {
    EndpointList list;
    list.seq = field["seq"].whole<std::uint64_t>();
    list.complete = field["whole"].flag();
    for (const Field& item : field["hosts"].items()) {
        ListedEndpoint h;
        h.name = item["host"].text();
        h.state = item["health"].named<EndpointState>({{"SERVING", EndpointState::serving},
                                                       {"DRAINING", EndpointState::draining},
                                                       {"DELETED", EndpointState::gone}});
        // What is gone needs no address any more.
        if (h.state != EndpointState::gone || item.has("dial")) h.address = item["dial"].endpoint<tcp>();
        if (item.has("site")) h.zone = item["site"].text();
        if (item.has("block")) h.cell = item["block"].whole();
        if (item.has("born_ms")) h.started_at = item["born_ms"].number();
        if (item.has("share")) h.capacity_weight = item["share"].number();
        list.endpoints.push_back(std::move(h));
    }
    return list;
}

void read_classes(Config& c, const Field& root) {
    c.longest_deadline = 0;
    const std::vector<Field> items = root["classes"].items();
    if (items.empty() && root.has("classes")) root["classes"].complain("has no class");
    for (const Field& item : items) {
        RequestClass r;
        std::string name = item["name"].text();
        if (item.has("name") && c.class_index(name) < c.classes.size())
            item["name"].complain("is the name of another class too");
        c.classes.push_back(std::move(name));
        r.idempotency = item["effect"].named<Idempotency>({{"repeatable", Idempotency::idempotent},
                                                           {"by_key", Idempotency::idempotent_with_key},
                                                           {"once", Idempotency::not_idempotent}});
        if (item.has("dedup-scope"))
            r.dedup_scope = item["dedup-scope"].named<DedupScope>(
                {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
        if (item.has("dedup-window-ms")) r.dedup_window = item["dedup-window-ms"].time();
        r.latency_objective = item["on-time-ms"].time();
        if (item.has("on-time-ms") && r.latency_objective == 0) item["on-time-ms"].complain("must be over 0");
        if (item.has("aim-stretch")) r.objective_per_effort = item["aim-stretch"].amount();
        if (item.has("credit")) r.priority_weight = item["credit"].amount();
        const double give_up = item.has("give-up-ms") ? item["give-up-ms"].time() : 3000;
        c.longest_deadline = std::max(c.longest_deadline, give_up);
        c.settings.classes.push_back(r);
    }
}

void read_settings(Config& c, const Field& root) {
    Settings& s = c.settings;
    if (root.has("azs"))
        for (const Field& zone : root["azs"].items()) zone.text();
    if (root.has("my-zone")) c.local_zone = root["my-zone"].text();
    read_classes(c, root);
    if (root.has("membership-mode"))
        s.polled_discovery = root["membership-mode"].named<bool>({{"pushed", false}, {"on_request", true}});
    if (root.has("siblings")) s.sidecar_count = root["siblings"].whole();
    if (root.has("siblings") && s.sidecar_count == 0) root["siblings"].complain("must be over 0");
    if (root.has("my-number")) s.sidecar_index = root["my-number"].whole();
    s.cancel_allowed = false;
    if (root.has("limits")) {
        const Field limits = root["limits"];
        if (limits.has("max-attempts")) s.max_attempts = limits["max-attempts"].whole();
        if (limits.has("max-attempts") && s.max_attempts == 0)
            limits["max-attempts"].complain("must be over 0");
        if (limits.has("parallel-tries")) s.hedging_allowed = limits["parallel-tries"].flag();
        if (limits.has("may-cancel")) s.cancel_allowed = limits["may-cancel"].flag();
        if (limits.has("may-probe")) s.probes_allowed = limits["may-probe"].flag();
        if (limits.has("may-tell")) s.gossip_allowed = limits["may-tell"].flag();
        if (limits.has("connect-timeout-ms")) c.connect_timeout = limits["connect-timeout-ms"].time();
        if (limits.has("idle-close-ms")) c.idle_timeout = limits["idle-close-ms"].time();
        if (limits.has("max-retry-after-ms")) c.max_retry_after = limits["max-retry-after-ms"].time();
    }
    if (root.has("rules")) {
        const Field rules = root["rules"];
        if (rules.has("cold-from")) s.slow_start_least_share = rules["cold-from"].share();
        if (rules.has("fall-multiple")) s.slow_start_overload_factor = rules["fall-multiple"].amount();
        if (rules.has("fall-multiple") && s.slow_start_overload_factor < 1)
            rules["fall-multiple"].complain("is under 1");
        if (rules.has("ask-within-ms")) s.poll_interval = rules["ask-within-ms"].time();
        if (rules.has("warm-within-ms")) s.slow_start_duration = rules["warm-within-ms"].time();
    }
    if (root.has("fees")) {
        const Field fees = root["fees"];
        if (fees.has("cross-zone")) s.fees.cross_zone = fees["cross-zone"].amount();
        if (fees.has("probe")) s.fees.probe = fees["probe"].amount();
    }
}

void read_limits(Config& c, const Field& limits) {
    if (limits.has("sockets")) c.sockets = limits["sockets"].whole<std::size_t>();
    if (limits.has("sockets") && c.sockets < 64)
        limits["sockets"].complain("is under 64, too few to serve with");
    if (limits.has("memory_mb")) {
        const double mb = limits["memory_mb"].amount();
        if (mb > 1e9) return limits["memory_mb"].complain("is too large");
        c.memory_mb = static_cast<std::size_t>(mb);
    }
}

void read_trial(CanaryRule& trial, const Field& field) {
    if (field.has("bake_ms")) trial.duration = field["bake_ms"].time();
    if (field.has("margin")) trial.max_drop = field["margin"].share();
    if (field.has("min_samples")) trial.min_samples = field["min_samples"].whole<std::size_t>();
    if (trial.min_samples == 0) field["min_samples"].complain("must be over 0");
}

void read_fleet(ReplicationConfig& fleet, const Field& field) {
    if (field.has("enabled")) fleet.enabled = field["enabled"].flag();
    if (field.has("agreement")) fleet.version_agreement = field["agreement"].flag();
    const auto period = [&](const char* name, Millis& into, Millis least) {
        if (!field.has(name)) return;
        into = field[name].time();
        if (into < least || into > 60000)
            field[name].complain("is not between " + std::to_string(static_cast<int>(least)) +
                                 " and 60000 ms");
    };
    period("probe_ms", fleet.probe_period, 100);
    period("gossip_ms", fleet.gossip_period, 20);
    period("sync_ms", fleet.sync_period, 200);
}

void read_own(Config& c, const Field& own) {
    if (own.has("admin")) {
        const Field at = own["admin"]["listen"];
        c.operator_endpoint = at.endpoint<tcp>();
        if (own["admin"].has("listen") && !c.operator_endpoint->address().is_loopback())
            at.complain("is not a loopback address");
    }
    if (own.has("state")) {
        const Field state = own["state"];
        if (state.has("dir")) c.state_directory = state["dir"].text();
        if (state.has("lived_ms")) c.stable_uptime = state["lived_ms"].time();
    }
    if (own.has("trial")) read_trial(c.canary, own["trial"]);
    if (own.has("fleet")) read_fleet(c.replication, own["fleet"]);
    if (own.has("epoch")) c.epoch = own["epoch"].whole<std::uint32_t>();
    if (own.has("rollout")) {
        c.rollout_share = own["rollout"]["share"].share();
        if (c.rollout_share < 1 && c.epoch == 0) own["rollout"]["share"].complain("needs an epoch");
    }
}

Config read_all(const json& value, Complaints& complaints) {
    const Field root(&value, "", complaints);
    Config c;
    if (!value.is_object()) {
        complaints.push_back({"the file", "is not an object"});
        return c;
    }
    c.name = root["name"].text();
    c.listen = root["listen"].endpoint<tcp>();
    c.discovery_address = root["discovery"].endpoint<tcp>();
    const std::string seed = root["seed"].text();
    const char* end = seed.data() + seed.size();
    const auto parsed = std::from_chars(seed.data(), end, c.seed, 16);
    if (root.has("seed") && (seed.empty() || parsed.ptr != end || parsed.ec != std::errc()))
        root["seed"].complain("is not a hex number");
    if (root.has("limits")) read_limits(c, root["limits"]);
    if (root.has("peer_listen")) c.peer_listen = root["peer_listen"].endpoint<udp>();
    if (root.has("peers"))
        for (const Field& peer : root["peers"].items()) c.peers.push_back(peer.endpoint<udp>());
    if (root.has("peers_all")) c.peers_all = root["peers_all"].endpoint<udp>();
    if (root.has("known")) c.known_endpoints = hosts_at(root["known"]);
    if (root.has(kOwnSection)) read_own(c, root[kOwnSection]);
    read_settings(c, root["settings"]);
    if (complaints.empty()) {
        try {
            validate(c.settings);  // the module's own view, should it ever ask for more than is asked above
        } catch (const std::invalid_argument& error) {
            complaints.push_back({"settings", std::string("are refused: ") + error.what()});
        }
    }
    if (complaints.empty()) {
        const json document = generation_document(value);
        c.document = document.dump();
        json common = document.at("settings");
        common.erase("my-number"), common.erase("my-zone");
        const std::string text = common.dump();
        c.settings_hash = XXH32(text.data(), text.size(), 0);
    }
    return c;
}

// Gives a section under its former name the present one; two sections contradict each other.
void rename_former_section(json& document, const std::string& source) {
    if (!document.is_object() || !document.contains(kFormerSection)) return;
    if (document.contains(kOwnSection))
        throw ConfigError(
            source, std::string("has both ") + kOwnSection + " and " + kFormerSection + ", its former name");
    document[kOwnSection] = std::move(document[kFormerSection]);
    document.erase(kFormerSection);
}

// Once in a process, however often the file is read.
void warn_of_former_section(const std::string& text) {
    static bool warned = false;
    if (warned || !json::parse(text, nullptr, false).contains(kFormerSection)) return;
    warned = true;
    log_line(std::string("the configuration's section ") + kFormerSection + " is now called " + kOwnSection +
             "; the former name is read for one release more");
}

json document_of_file() {
    const std::string text = read_config_file();
    json document = parse_config(text, "NODE_CONFIG");
    warn_of_former_section(text);
    return document;
}

void put_variable(json& value, const char* variable, const char* field) {
    const char* text = std::getenv(variable);
    if (value.is_object() && text && *text) value[field] = text;
}

std::string in_one_line(const Complaints& all) {
    std::string text = "configuration: ";
    for (std::size_t i = 0; i < all.size(); ++i) text += (i ? "; " : "") + all[i].field + " " + all[i].what;
    return text;
}

// How deep brackets outside of texts nest.
int depth_of(std::string_view text) {
    int depth = 0, deepest = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted && c == '\\')
            ++i;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && (c == '[' || c == '{'))
            deepest = std::max(deepest, ++depth);
        else if (!quoted && (c == ']' || c == '}'))
            --depth;
    }
    return deepest;
}

}  // namespace

ConfigError::ConfigError(std::vector<ValidationError> all)
    : std::runtime_error(in_one_line(all)), errors(std::move(all)) {}

ConfigError::ConfigError(const std::string& field, const std::string& what)
    : ConfigError(std::vector<ValidationError>{{field, what}}) {}

bool Config::in_rollout() const {
    const std::uint32_t words[] = {settings.sidecar_index, epoch};
    return rollout_share >= 1 || XXH32(words, sizeof words, 0) < rollout_share * 4294967296.0;
}

bool Config::joins_replication() const {
    return replication.enabled && settings.gossip_allowed && peer_listen && settings.sidecar_count > 1 &&
           settings.sidecar_count <= ochregrade::replication::kMaxMembers &&
           settings.sidecar_index < settings.sidecar_count && peers.size() >= settings.sidecar_count;
}

std::size_t Config::class_index(std::string_view class_name) const {
    return static_cast<std::size_t>(std::find(classes.begin(), classes.end(), class_name) - classes.begin());
}

EndpointList parse_endpoint_list(const json& value) {
    Complaints complaints;
    EndpointList list = hosts_at(Field(&value, "", complaints));
    if (!complaints.empty()) throw ConfigError(std::move(complaints));
    return list;
}

Config read_config(const json& value) {
    Complaints complaints;
    Config config = read_all(value, complaints);
    if (!complaints.empty()) throw ConfigError(std::move(complaints));
    return config;
}

json parse_config(std::string_view text, const std::string& source) {
    const auto fail = [&](const char* what) { throw ConfigError(source, what); };
    if (text.size() > kLongestFile) fail("is too long");
    if (depth_of(text) > kDeepest) fail("is nested too deep");
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) fail("is not JSON");
    rename_former_section(value, source);
    return value;
}

std::string read_config_file() {
    const auto fail = [](const char* what) { throw ConfigError("NODE_CONFIG", what); };
    const char* path = std::getenv("NODE_CONFIG");
    if (!path || !*path) fail("is not set");
    std::string text;
    for (int i = 0; i < kReads; ++i) {
        const File file(path);
        struct stat before {
        }, after{}, there{};
        if (file.fd < 0 || ::fstat(file.fd, &before) != 0 || !S_ISREG(before.st_mode))
            fail("names a file that can't be read");
        text.clear();
        std::array<char, 65536> part;
        for (ssize_t n; (n = ::read(file.fd, part.data(), part.size())) != 0;) {
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) fail("names a file that can't be read");
            text.append(part.data(), static_cast<std::size_t>(n));
            if (text.size() > kLongestFile) fail("names a file that is too long");
        }
        // Whole and still the one that is there: else it was being replaced or written to.
        if (::fstat(file.fd, &after) == 0 && ::stat(path, &there) == 0 && same(before, after) &&
            same(after, there))
            return text;
    }
    return text;  // written to all the time: what it says is judged like any other text
}

json start_document() {
    json value = document_of_file();
    put_variable(value, "NODE_NAME", "name");
    put_variable(value, "NODE_LISTEN", "listen");
    put_variable(value, "NODE_DISCOVERY", "discovery");
    return value;
}

void log_unknown_fields(const json& document) {
    std::string names;
    for (const std::string& field : unknown_fields(document, 5)) names += " " + field;
    if (!names.empty()) log_line("not known in the configuration, and not heeded:" + names);
}

json reload_document() {
    json value = document_of_file();
    put_variable(value, "NODE_NAME", "name");
    put_variable(value, "NODE_LISTEN", "listen");
    return value;
}

void keep_fixed(json& candidate, const json& running) {
    for (const char* field : {"name", "listen"})
        if (!candidate.contains(field) && running.contains(field)) candidate[field] = running.at(field);
    for (const char* field : {"admin", "state"}) {
        if (!running.contains(kOwnSection) || !running.at(kOwnSection).contains(field)) continue;
        json& own = candidate[kOwnSection];
        if (own.is_null()) own = json::object();
        if (own.is_object() && !own.contains(field)) own[field] = running.at(kOwnSection).at(field);
    }
}

Config read_candidate(json candidate, const Config& running, bool strict) {
    Complaints complaints;
    if (strict)
        for (const std::string& field : unknown_fields(candidate, kMostComplaints))
            complaints.push_back({field, "is not known"});
    if (candidate.is_object()) {
        const json now = json::parse(running.document);
        keep_fixed(candidate, now);
        candidate.erase("known");  // read at the start only, and neither is looked at again
        candidate["seed"] = "0";
    }
    Config config = read_all(candidate, complaints);
    const auto fixed = [&](const char* field, const auto& was, const auto& is) {
        const bool said = std::any_of(complaints.begin(), complaints.end(),
                                      [&](const ValidationError& c) { return c.field == field; });
        if (!said && was != is) complaints.push_back({field, "can't change while the program runs"});
    };
    fixed("name", running.name, config.name);
    fixed("listen", running.listen, config.listen);
    fixed("ochregrade.admin.listen", running.operator_endpoint, config.operator_endpoint);
    fixed("ochregrade.state.dir", running.state_directory, config.state_directory);
    if (!complaints.empty()) throw ConfigError(std::move(complaints));
    config.seed = running.seed;
    return config;
}

}  // namespace ochregrade::sidecar
