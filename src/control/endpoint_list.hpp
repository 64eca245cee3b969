// The endpoint list and its JSON form, which is used in discovery's responses, in the field "known" of the
// configuration and in the state folder.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

using boost::asio::ip::tcp;

/// One endpoint as discovery lists it.
struct ListedEndpoint {
    std::string name;
    tcp::endpoint address;  // may be unspecified for a removed endpoint
    std::string zone;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;  // Unix time by discovery's clock, ms; 0: unknown, treated as long ago
    double capacity_weight = 1;
};

struct EndpointList {
    std::uint64_t seq = 0;  // discovery's sequence number
    bool complete = false;  // true: `endpoints` are all endpoints; false: only those that changed
    std::vector<ListedEndpoint> endpoints;
};

/// Reads a list in discovery's JSON form. Throws ConfigError.
EndpointList parse_endpoint_list(const nlohmann::json& json);
/// Reads a list from a JsonField; errors are added to the field's ValidationErrors.
class JsonField;
EndpointList read_endpoint_list(const JsonField& field);
/// Writes the list in the JSON form that parse_endpoint_list() reads, marked as complete.
nlohmann::json endpoint_list_json(const EndpointList& list);

}  // namespace ochregrade::sidecar
