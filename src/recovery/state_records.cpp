#include "recovery/state_records.hpp"

#include <cmath>
#include <stdexcept>

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

// Value of the field "seed" for stored configurations that are only validated or retained as targets of a
// rollback. No random numbers are derived from this seed.
constexpr const char* kNoSeed = "0";

json parse_text_field(const json& record, const char* field) {
    return parse_config(record.at(field).get<std::string>(), field);
}

// Returns the document with the present name of the program's section (kOwnSection). Records of earlier
// program versions may have the former name (kFormerSection). An invalid document is returned unchanged.
std::string in_current_format(const std::string& document) {
    try {
        return parse_config(document, "file").dump();
    } catch (const ConfigError&) {
        return document;
    }
}

ConfigVersions::Entry parse_version(const json& stored) {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->config = read_stored_document(parse_text_field(stored, "config"), kNoSeed, nullptr);
    snapshot->version = stored.at("generation").get<std::uint64_t>();
    const auto content_version = stored.at("content_of").get<std::uint64_t>();
    const auto committed_at = stored.at("at_ms").get<double>();
    return {std::move(snapshot),         content_version, ConfigVersions::Source::recovery,
            ConfigVersions::State::good, committed_at,    "from an earlier life"};
}

NamedEndpointSnapshot parse_snapshot(const json& stored) {
    const auto finite = [&](const char* field) {
        const double value = stored.at(field).get<double>();
        if (!std::isfinite(value)) throw std::runtime_error("a number is not finite");
        return value;
    };
    NamedEndpointSnapshot snapshot;
    snapshot.name = stored.at("host").get<std::string>();
    snapshot.started_at = finite("born_ms");
    snapshot.ejected_for = finite("removed_for_ms");
    snapshot.latency_ratio = finite("pace");
    return snapshot;
}

json snapshot_json(const NamedEndpointSnapshot& snapshot) {
    return {{"host", snapshot.name},
            {"born_ms", snapshot.started_at},
            {"removed_for_ms", snapshot.ejected_for},
            {"pace", snapshot.latency_ratio}};
}

json list_json(const EndpointsRecord& record) {
    return {{"list", endpoint_list_json(record.list)},
            {"discovery", record.discovery},
            {"learnt", json::array()}};
}

}  // namespace

Config read_stored_document(json document, const std::string& seed, const json* known) {
    document["seed"] = seed;
    if (known) document["known"] = *known;
    return read_config(document);
}

ConfigRecord parse_config_record(const std::string& payload) {
    const json stored = json::parse(payload);
    ConfigRecord record;
    record.last_known_good = parse_text_field(stored, "good");
    read_stored_document(record.last_known_good, kNoSeed,
                         nullptr);  // throws if the document is not a valid configuration
    record.next_version = stored.at("next").get<std::uint64_t>();
    record.file_document = in_current_format(stored.at("file").get<std::string>());
    record.canary_under_way = stored.at("on_trial").get<bool>();
    for (const json& version : stored.at("kept")) record.versions.push_back(parse_version(version));
    return record;
}

std::string config_record_payload(const ConfigVersions& versions,
                                  const ConfigVersions::Entry& last_known_good,
                                  const std::string& file_document) {
    json stored;
    // Each document is stored as one JSON string and not as a JSON object, because parsing the documents here
    // would block the event loop.
    stored["good"] = last_known_good.snapshot->config.document;
    stored["file"] = file_document;
    stored["next"] = versions.next_version();
    stored["on_trial"] = versions.canary().has_value();
    stored["kept"] = json::array();
    for (const ConfigVersions::Entry& entry : versions.retained()) {
        if (entry.state != ConfigVersions::State::good) continue;
        stored["kept"].push_back({{"generation", entry.number()},
                                  {"content_of", entry.content_version},
                                  {"at_ms", entry.committed_at},
                                  {"config", entry.snapshot->config.document}});
    }
    return stored.dump();
}

EndpointsRecord parse_endpoints_record(const std::string& payload) {
    const json stored = json::parse(payload);
    EndpointsRecord record;
    record.written_at = {stored.at("wall_ms").get<double>(), stored.at("up_ms").get<double>(),
                         stored.at("boot").get<std::string>()};
    record.list = parse_endpoint_list(stored.at("list"));
    if (!record.list.complete) throw std::runtime_error("its endpoint list is not complete");
    record.discovery = stored.at("discovery").get<std::string>();
    for (const json& snapshot : stored.at("learnt")) record.snapshots.push_back(parse_snapshot(snapshot));
    return record;
}

std::string endpoints_record_payload(const EndpointsRecord& record) {
    json stored = list_json(record);
    for (const NamedEndpointSnapshot& snapshot : record.snapshots)
        stored["learnt"].push_back(snapshot_json(snapshot));
    stored["wall_ms"] = record.written_at.wall;
    stored["up_ms"] = record.written_at.uptime;
    stored["boot"] = record.written_at.boot_id;
    return stored.dump();
}

std::string endpoints_record_identity(const EndpointsRecord& record) {
    std::string identity = list_json(record).dump();
    for (const NamedEndpointSnapshot& snapshot : record.snapshots)
        if (snapshot.ejected_for > 0) identity += snapshot.name;
    return identity;
}

int parse_starts_record(const std::string& payload) {
    const json stored = json::parse(payload, nullptr, false);
    const bool valid =
        stored.is_object() && stored.contains("starts") && stored["starts"].is_number_unsigned();
    if (!valid) throw std::runtime_error("its number of starts is invalid");
    return stored.at("starts").get<int>();
}

std::string starts_record_payload(int starts) { return json{{"starts", starts}}.dump(); }

}  // namespace ochregrade::sidecar
