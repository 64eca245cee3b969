// The list of endpoints in discovery's JSON form: what a discovery call answers, what the configuration's
// field "known" holds, and what the state folder stores.
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
    tcp::endpoint address;  // unspecified where the endpoint is gone
    std::string zone;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;  // Unix time by discovery's clock; 0: long ago
    double capacity_weight = 1;
};

struct EndpointList {
    std::uint64_t seq = 0;  // discovery's sequence number
    bool complete = false;  // all endpoints; otherwise only those that changed
    std::vector<ListedEndpoint> endpoints;
};

/// Reads discovery's form; throws ConfigError.
EndpointList parse_endpoint_list(const nlohmann::json& json);
/// The same from JSON that is already in a JsonField; errors go to the field's collector.
class JsonField;
EndpointList read_endpoint_list(const JsonField& field);
/// A complete list in discovery's form, as parse_endpoint_list reads it.
nlohmann::json endpoint_list_json(const EndpointList& list);

}  // namespace ochregrade::sidecar
