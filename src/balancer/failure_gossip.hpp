// Failure gossip: suspicion of endpoints, from this sidecar's own failed attempts and from those that peers
// report.
//
// Input: attempts that failed or succeeded, messages of peers, shared evidence. Output: suspicion, a decayed
// count of failures (0 if too few to be significant); messages of four bytes, the endpoint's id in network
// byte order. Source: SWIM's suspicion, uniform gossip.
//
// Among many endpoints, a single sidecar sends requests to a faulty endpoint too seldom to detect it, whereas
// all sidecars together do so all the time. Suspicion never excludes an endpoint. It lowers the probability
// that the endpoint is drawn, breaks ties between equal numbers of attempts in flight, prevents probe races
// between unequally suspected endpoints, and keeps failures at the endpoint out of the measured load of the
// pool. A success halves the suspicion, and the suspicion decays with the duration of an ejection backoff as
// its time constant. Lost, false or malformed messages therefore do little harm. Late responses are not
// reported, because under overload all responses are late.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "balancer/endpoint_table.hpp"

namespace ochregrade::detail {

class FailureGossip {
public:
    FailureGossip(Context& context, const EndpointSubset& subset) : context_(context), subset_(subset) {}

    /// Decayed count of failures, at most kMaxSuspicion; 0 if too few to be significant or if this sidecar's
    /// own traffic fills its outcome windows in time.
    double suspicion(const EndpointRecord& endpoint) const;
    void record_success(EndpointRecord& endpoint) const;
    /// Raises the suspicion of the endpoint. Reports the failure to some peers if gossip is allowed, evidence
    /// is not shared and this sidecar's traffic is sparse.
    void record_failure(EndpointRecord& endpoint);
    /// Raises the suspicion of the endpoint that the message names. A message of another length or about an
    /// unknown endpoint has no effect.
    void receive(const GossipReceived& message, EndpointTable& table) const;

private:
    void send_report(EndpointId endpoint);

    Context& context_;
    const EndpointSubset& subset_;
};

}  // namespace ochregrade::detail
