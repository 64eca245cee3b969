#include "recovery/start_plan.hpp"

#include <cstdlib>
#include <random>
#include <sstream>
#include <utility>

#include "common/environment.hpp"
#include "common/log.hpp"
#include "recovery/state_records.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

constexpr std::size_t kSeedDigits = 16;

bool is_enabled(const char* text) { return text && *text && std::string_view(text) != "0"; }

std::string random_seed() {
    std::ostringstream seed;
    std::random_device device;
    seed << std::hex << device() << device();
    return seed.str().substr(0, kSeedDigits);
}

// Whether the last known good configuration is used instead of the file. This is the case if the file has not
// changed since it was last accepted, and the last known good configuration differs from the file: operators
// have changed the configuration, or the file's configuration has not passed its canary. A file that has
// changed is always used, and overrides the operators' changes.
bool overrides_file(const RecoveredState& recovered, const std::string& file_document) {
    return recovered.last_known_good && recovered.file == file_document &&
           recovered.last_known_good->dump() != file_document;
}

// Returns the stored document with the file's values of the fixed fields, which cannot change while the
// process runs (FieldKind::fixed). A section "admin" or "state" that the file omits keeps its stored value.
json with_fixed_fields_of(json document, const json& file, const json& file_document) {
    for (const char* field : {"name", "listen"}) document[field] = file.at(field);
    if (!file_document.contains(kOwnSection)) return document;
    const json& own = file_document.at(kOwnSection);
    for (const char* field : {"admin", "state"})
        if (own.contains(field)) document[kOwnSection][field] = own.at(field);
    return document;
}

// Puts the last known good configuration into `start`. The seed, the known endpoint list, the fixed fields
// and the stable uptime keep the file's values. If the stored configuration is invalid, this function logs
// the reason, and `start` keeps the file's configuration.
void use_last_known_good(Start& start, const json& file, const RecoveredState& recovered) {
    try {
        const json document =
            with_fixed_fields_of(*recovered.last_known_good, file, json::parse(start.file_document));
        const json* known = file.contains("known") ? &file.at("known") : nullptr;
        const Millis stable_uptime = start.config.stable_uptime;
        start.config = read_stored_document(document, file.at("seed").get<std::string>(), known);
        start.config.stable_uptime = stable_uptime;
        start.source = ConfigVersions::Source::recovery;
        log_line(recovered.canary_interrupted
                     ? "state: the previous run ended during a canary: the last known good configuration is "
                       "in force"
                     : "state: the last accepted configuration is in force");
    } catch (const std::exception& error) {
        log_line(std::string("state: the last accepted configuration is not used: ") + error.what());
    }
}

// The stored endpoint list replaces the known list of the configuration if the stored list has a higher
// sequence number and comes from the same discovery address, or if the configuration has no list.
void choose_endpoints(Start& start, const RecoveredState& recovered) {
    if (!recovered.endpoints) return;
    std::ostringstream discovery;
    discovery << start.config.discovery_address;
    const auto& known = start.config.known_endpoints;
    const bool newer =
        known && recovered.discovery == discovery.str() && recovered.endpoints->seq > known->seq;
    if (known && !newer) return;
    start.config.known_endpoints = recovered.endpoints;
    start.endpoints_restored = true;
}

void override_from_environment(json& document) {
    for (const auto& [variable, field] : {std::pair{"NODE_NAME", "name"}, {"NODE_LISTEN", "listen"}})
        if (const char* text = std::getenv(variable); text && *text) document[field] = text;
}

// The file's document or the reason for its rejection, and the state folder. OCHREGRADE_STATE_DIR overrides
// the folder that the file names; the folder is empty if neither names one.
struct FileResult {
    std::optional<json> document;
    std::optional<ConfigError> error;
    std::string state_directory;
};

FileResult read_file() {
    FileResult file;
    try {
        json document = start_document();
        file.state_directory = read_config(document).state_directory;
        log_unknown_fields(document);
        file.document = std::move(document);
    } catch (const ConfigError& error) {
        file.error = error;
    }
    if (const char* path = environment_variable("STATE_DIR"); path && *path) file.state_directory = path;
    return file;
}

}  // namespace

Start decide_start(const std::optional<json>& file, const RecoveredState& recovered) {
    Start start;
    if (file) {
        start.config = read_config(*file);
        start.file_document = start.config.document;
        if (overrides_file(recovered, start.file_document)) use_last_known_good(start, *file, recovered);
    } else if (recovered.last_known_good) {
        start.config = read_stored_document(*recovered.last_known_good, random_seed(), nullptr);
        start.source = ConfigVersions::Source::recovery;
    }
    choose_endpoints(start, recovered);
    start.recovered = recovered;
    return start;
}

Start prepare_start() {
    const FileResult file = read_file();
    const bool may_recover = !file.error || is_enabled(environment_variable("LAST_KNOWN_GOOD"));
    std::unique_ptr<StateStore> store;
    RecoveredState recovered;
    if (!file.state_directory.empty() && may_recover) {
        store = StateStore::open(file.state_directory);
        recovered = store->recover();
    }
    if (file.error) {
        if (!recovered.last_known_good) throw ConfigError(*file.error);
        override_from_environment(*recovered.last_known_good);
        log_line(file.error->what());
        log_line("state: the file is rejected; the last known good configuration is in force instead");
    }
    Start start = decide_start(file.document, recovered);
    start.state_store = std::move(store);
    return start;
}

}  // namespace ochregrade::sidecar
