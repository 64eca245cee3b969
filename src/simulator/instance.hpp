/// @file
/// One balancer instance and the names behind the integers that the balancer sees.
///
/// A request's name is kept until the request has ended and its attempts have; an endpoint's while it is
/// listed or an attempt on it is in flight. So memory is bounded by what is in flight.
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

    /// Throws std::invalid_argument where the settings are ones that the balancer does not accept.
    Instance(std::string instance_name, InstanceConfig instance_config, std::uint64_t seed);

    /// The id of the endpoint of this name, which is known from now on.
    EndpointId endpoint_for(const std::string& endpoint_name);

    void end_request(RequestId id);
    /// Forgets a request that has ended and has no attempt in flight.
    void forget_request_if_done(RequestId id);
    /// Forgets an endpoint that is neither listed nor has an attempt in flight.
    void forget_endpoint_if_unused(EndpointId id);
    void forget_unused_endpoints();

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
