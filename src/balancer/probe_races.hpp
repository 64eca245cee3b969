// Probe races: two idle endpoints are probed for a request, and the first one to respond gets the request.
//
// Input: two endpoints without attempts in flight and with nearly the same suspicion; ends of probes. Output:
// SendProbe actions, and the request that a probe was sent for. Owns the lists of the requests that wait for
// probes, by endpoint.
//
// While some attempts fail or are late, a race avoids endpoints that are down, unreachable or overloaded. In
// a collapsed pool no endpoint responds to probes in time, so that probes would only add cost. A race is also
// not worthwhile if the late or failed attempts that it avoids cost less than the fees of its two probes.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/attempt_statistics.hpp"
#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/request_table.hpp"

namespace ochregrade::detail {

class ProbeRaces {
public:
    ProbeRaces(Context& context, const EndpointSubset& subset, const AttemptStatistics& statistics)
        : context_(context), subset_(subset), statistics_(statistics) {}

    bool is_worthwhile(const Request& request) const;
    void start(Request& request, const EndpointRecord& first, const EndpointRecord& second);
    /// Removes and returns the request that has waited longest for a probe of this endpoint; none if no
    /// request waits.
    std::optional<RequestId> take_waiter(EndpointId endpoint);
    /// Removes and returns all requests that wait for a probe of this endpoint. Used for an endpoint that has
    /// been erased, because the ends of its probes may never be reported.
    std::vector<RequestId> take_waiters(EndpointId endpoint);

private:
    Context& context_;
    const EndpointSubset& subset_;
    const AttemptStatistics& statistics_;
    std::unordered_map<EndpointId, std::vector<RequestId>> waiters_;  // never iterated
};

}  // namespace ochregrade::detail
