// The payloads of the records in the state folder: JSON, whose keys are a stored format and don't change
// (docs/RECOVERY.md). Parsing checks everything that a later use relies on and throws std::exception with the
// reason.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "control/config_versions.hpp"
#include "proxy/balancer_driver.hpp"
#include "recovery/timestamps.hpp"

namespace ochregrade::sidecar {

/// A Config from a version's document, which says nothing of start-only fields. `seed`: hex digits. `known`:
/// the endpoints to start with, or null. Throws ConfigError.
Config read_stored_document(nlohmann::json document, const std::string& seed, const nlohmann::json* known);

/// The record "config".
struct ConfigRecord {
    nlohmann::json last_known_good;  // a version's document
    std::string file_document;       // of the file when it was last accepted
    std::uint64_t next_version = 1;
    bool canary_under_way = false;
    std::deque<ConfigVersions::Entry> versions;  // the good ones, oldest first
};
ConfigRecord parse_config_record(const std::string& payload);
std::string config_record_payload(const ConfigVersions& versions,
                                  const ConfigVersions::Entry& last_known_good,
                                  const std::string& file_document);

/// The record "world".
struct EndpointsRecord {
    EndpointList list;
    std::string discovery;                         // address:port that the list came from
    std::vector<NamedEndpointSnapshot> snapshots;  // as of written_at
    Timestamps written_at{};
};
EndpointsRecord parse_endpoints_record(const std::string& payload);
std::string endpoints_record_payload(const EndpointsRecord& record);
/// Equal for records that differ only in figures that change by themselves.
std::string endpoints_record_identity(const EndpointsRecord& record);

/// The record "starts": how many runs in a row ended early.
int parse_starts_record(const std::string& payload);
std::string starts_record_payload(int starts);

}  // namespace ochregrade::sidecar
