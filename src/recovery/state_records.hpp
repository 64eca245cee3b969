// Reads and writes the payloads of the records in the state folder (docs/RECOVERY.md). A payload is JSON; its
// keys are a stored format and do not change. The parse functions validate everything that later code relies
// on, and throw std::exception with the reason if a payload is invalid.
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

/// Returns the Config of a version's document, which lacks the start-only fields. `seed`: hex digits.
/// `known`: the endpoint list to start with, or null. Throws ConfigError.
Config read_stored_document(nlohmann::json document, const std::string& seed, const nlohmann::json* known);

/// The record "config".
struct ConfigRecord {
    nlohmann::json last_known_good;  // a version's document
    std::string file_document;       // the file's document when the file was last accepted
    std::uint64_t next_version = 1;
    bool canary_under_way = false;
    std::deque<ConfigVersions::Entry> versions;  // versions in state good, oldest first
};
ConfigRecord parse_config_record(const std::string& payload);
std::string config_record_payload(const ConfigVersions& versions,
                                  const ConfigVersions::Entry& last_known_good,
                                  const std::string& file_document);

/// The record "world".
struct EndpointsRecord {
    EndpointList list;
    std::string discovery;                         // address:port of the discovery that sent the list
    std::vector<NamedEndpointSnapshot> snapshots;  // taken at written_at
    Timestamps written_at{};
};
EndpointsRecord parse_endpoints_record(const std::string& payload);
std::string endpoints_record_payload(const EndpointsRecord& record);
/// A text that is equal for records that differ only in values that change continuously: the time of writing,
/// latency ratios and the remaining time of ejections.
std::string endpoints_record_identity(const EndpointsRecord& record);

/// The record "starts": the number of consecutive runs that have not been confirmed as stable.
int parse_starts_record(const std::string& payload);
std::string starts_record_payload(int starts);

}  // namespace ochregrade::sidecar
