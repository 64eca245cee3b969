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

/// Returns the Config that the stored document of a version describes. The document lacks the fields that
/// apply only to the start of a process (FieldKind::start_only), so the caller passes their values. `seed`:
/// hex digits. `known`: the endpoint list to start with, or null. Throws ConfigError if the document is
/// invalid.
Config read_stored_document(nlohmann::json document, const std::string& seed, const nlohmann::json* known);

/// The record "config".
struct ConfigRecord {
    nlohmann::json last_known_good;  // document of the last known good version
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
/// Returns a text that is equal for two records with the same endpoint list, the same discovery address and
/// the same ejected endpoints. The text leaves out what changes continuously (the time of writing, latency
/// ratios, the remaining time of ejections) and the start times in the snapshots.
std::string endpoints_record_identity(const EndpointsRecord& record);

/// The record "starts": the number of consecutive runs, including the current one, that have not been
/// confirmed as stable.
int parse_starts_record(const std::string& payload);
std::string starts_record_payload(int starts);

}  // namespace ochregrade::sidecar
