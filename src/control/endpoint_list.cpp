#include "control/endpoint_list.hpp"

#include <nlohmann/json.hpp>
#include <sstream>

#include "control/json_field.hpp"

namespace ochregrade::sidecar {

namespace {

const char* to_string(EndpointState state) {
    switch (state) {
        case EndpointState::serving:
            return "SERVING";
        case EndpointState::draining:
            return "DRAINING";
        case EndpointState::removed:
            break;
    }
    return "DELETED";
}

}  // namespace

EndpointList read_endpoint_list(const JsonField& field) {
    EndpointList list;
    list.seq = field["seq"].unsigned_integer<std::uint64_t>();
    list.complete = field["whole"].flag();
    for (const JsonField& item : field["hosts"].items()) {
        ListedEndpoint endpoint;
        endpoint.name = item["host"].text();
        endpoint.state = item["health"].named<EndpointState>({{"SERVING", EndpointState::serving},
                                                              {"DRAINING", EndpointState::draining},
                                                              {"DELETED", EndpointState::removed}});
        // A removed endpoint needs no address.
        if (endpoint.state != EndpointState::removed || item.has("dial"))
            endpoint.address = item["dial"].endpoint<tcp>();
        if (item.has("site")) endpoint.zone = item["site"].text();
        if (item.has("block")) endpoint.cell = item["block"].unsigned_integer();
        if (item.has("born_ms")) endpoint.started_at = item["born_ms"].number();
        if (item.has("share")) endpoint.capacity_weight = item["share"].number();
        list.endpoints.push_back(std::move(endpoint));
    }
    return list;
}

EndpointList parse_endpoint_list(const nlohmann::json& json) {
    ValidationErrors errors;
    EndpointList list = read_endpoint_list(JsonField(&json, "", errors));
    errors.throw_if_any();
    return list;
}

nlohmann::json endpoint_list_json(const EndpointList& list) {
    nlohmann::json endpoints = nlohmann::json::array();
    for (const ListedEndpoint& endpoint : list.endpoints) {
        std::ostringstream address;
        address << endpoint.address;
        endpoints.push_back({{"host", endpoint.name},
                             {"dial", address.str()},
                             {"site", endpoint.zone},
                             {"block", endpoint.cell},
                             {"health", to_string(endpoint.state)},
                             {"born_ms", endpoint.started_at},
                             {"share", endpoint.capacity_weight}});
    }
    return {{"seq", list.seq}, {"whole", true}, {"hosts", endpoints}};
}

}  // namespace ochregrade::sidecar
