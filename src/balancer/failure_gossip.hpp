// Failure gossip: suspicion of endpoints from our own failures and those that peers report.
//
// Input: attempts that failed or succeeded, messages of peers. Output: suspicion, a decayed count of failures
// (0 where it says nothing); messages of four bytes, the endpoint's id in network byte order. Source: SWIM's
// suspicion, uniform gossip.
//
// Among many endpoints a sidecar meets a faulty one too seldom to know it, all sidecars together meet it all
// the time. Suspicion makes an endpoint rarer in the draw and breaks ties between equal queues, no more; a
// success halves it, and it decays within a backoff: lost, false or malformed messages do little harm. Late
// answers are not reported: under overload all are late.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

class FailureGossip {
public:
    FailureGossip(Context& context, const EndpointSubset& subset) : context_(context), subset_(subset) {}

    /// 0 where it says nothing, at most kMaxSuspicion.
    double suspicion(const EndpointRecord& endpoint) const;
    void record_success(EndpointRecord& endpoint) const;
    /// Tells some peers too.
    void record_failure(EndpointRecord& endpoint);
    /// Messages of other lengths and about unknown endpoints have no effect.
    void receive(const GossipReceived& message, EndpointTable& table) const;

private:
    void send_report(EndpointId endpoint);

    Context& context_;
    const EndpointSubset& subset_;
};

}  // namespace ochregrade::detail
