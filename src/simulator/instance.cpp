#include "simulator/instance.hpp"

#include <utility>
#include <vector>

#include "common/endpoint_id.hpp"

namespace ochregrade::wire {

Instance::Instance(std::string instance_name, InstanceConfig instance_config, std::uint64_t seed)
    : name(std::move(instance_name)), config(std::move(instance_config)), balancer(config.settings, seed) {}

EndpointId Instance::find_or_add_endpoint(const std::string& endpoint_name) {
    const auto known = endpoint_ids.find(endpoint_name);
    if (known != endpoint_ids.end()) return known->second;
    const auto is_taken = [this](EndpointId id) { return endpoints.count(id) > 0; };
    const EndpointId id = endpoint_id(endpoint_name, is_taken);
    endpoint_ids[endpoint_name] = id;
    endpoints[id].name = endpoint_name;
    return id;
}

void Instance::end_request(RequestId id) {
    const auto request = requests.find(id);
    if (request != requests.end()) request->second.ended = true;
    erase_request_if_ended(id);
}

void Instance::erase_request_if_ended(RequestId id) {
    const auto request = requests.find(id);
    if (request == requests.end()) return;
    if (!request->second.ended || request->second.attempts_in_flight > 0) return;
    request_ids.erase(request->second.name);
    requests.erase(request);
}

void Instance::erase_endpoint_if_unused(EndpointId id) {
    const auto endpoint = endpoints.find(id);
    if (endpoint == endpoints.end()) return;
    if (endpoint->second.listed || endpoint->second.attempts_in_flight > 0) return;
    endpoint_ids.erase(endpoint->second.name);
    endpoints.erase(endpoint);
}

void Instance::erase_unused_endpoints() {
    std::vector<EndpointId> ids;
    ids.reserve(endpoints.size());
    for (const auto& [id, endpoint] : endpoints) ids.push_back(id);
    for (const EndpointId id : ids) erase_endpoint_if_unused(id);
}

}  // namespace ochregrade::wire
