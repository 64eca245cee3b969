// Probe races: two idle endpoints are probed for a request, and the first to answer gets it.
//
// Input: two endpoints between which the selector sees no difference; ends of probes. Output: SendProbe
// actions and which request a probe was for. Owns the requests that wait for probes, by endpoint.
//
// While some attempts fail or come late, a race avoids who is dead, cut off or overloaded. In a collapsed
// pool no probe is answered in time, and they would only cost; nor is a race worth two fees where it saves
// less.
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
    /// The request that has waited longest for a probe of this endpoint; none if there is none.
    std::optional<RequestId> take_waiter(EndpointId endpoint);
    /// All of them: the endpoint is gone, and no probe of it will end.
    std::vector<RequestId> take_waiters(EndpointId endpoint);

private:
    Context& context_;
    const EndpointSubset& subset_;
    const AttemptStatistics& statistics_;
    std::unordered_map<EndpointId, std::vector<RequestId>> waiters_;  // never iterated
};

}  // namespace ochregrade::detail
