/// @file
/// One balancer instance, and the names of the requests and endpoints that the balancer refers to by
/// integers.
///
/// The instance stores a request until the request and all its attempts have ended, and an endpoint while it
/// is listed or has an attempt in flight. The memory for them is therefore bounded by the endpoint list, the
/// requests that have not ended and the attempts in flight.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "ochregrade/balancer.hpp"
#include "simulator/instance_config.hpp"

namespace ochregrade::wire {

struct Instance {
    struct Request {
        std::string name;
        std::uint32_t attempts_in_flight = 0;
        bool ended = false;
    };
    struct KnownEndpoint {
        std::string name;
        std::uint32_t attempts_in_flight = 0;
        bool listed = false;
    };

    /// Throws std::invalid_argument if the balancer rejects the settings.
    Instance(std::string instance_name, InstanceConfig instance_config, std::uint64_t seed);

    /// Returns the id of the endpoint of this name, which is added if it is new.
    EndpointId find_or_add_endpoint(const std::string& endpoint_name);

    void end_request(RequestId id);
    /// Erases a request that has ended and has no attempt in flight.
    void erase_request_if_ended(RequestId id);
    /// Erases an endpoint that is not listed and has no attempt in flight.
    void erase_endpoint_if_unused(EndpointId id);
    void erase_unused_endpoints();

    std::string name;
    InstanceConfig config;
    Balancer balancer;
    std::unordered_map<std::string, RequestId> request_ids;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<std::string, EndpointId> endpoint_ids;
    std::map<EndpointId, KnownEndpoint> endpoints;
    RequestId next_request = 1;
};

}  // namespace ochregrade::wire
