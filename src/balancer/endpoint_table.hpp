// Endpoint table: which endpoints are listed, which are in service (listed and serving), and their capacity.
//
// Input: endpoint updates of discovery. Output: a record for each endpoint that is listed or has attempts in
// flight, in the order of ids, and an index of the endpoints in service. Capacity is in units of registered
// capacity weight.
#pragma once

#include <map>
#include <vector>

#include "balancer/ejection_state.hpp"
#include "balancer/evidence_state.hpp"
#include "balancer/suspicion.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

class SlowStart;

/// All state about an endpoint. OutlierDetection owns ejection, FailureGossip owns suspicion and
/// SharedEvidence owns evidence. Two changes come from other modules: SharedEvidence may shorten the backoff
/// of an ejection, and EndpointTable resets ejection and evidence when the endpoint has restarted.
struct EndpointRecord {
    bool is_serving() const { return listed && info.state == EndpointState::serving; }

    Endpoint info;
    bool listed = true;
    int in_flight = 0;         ///< attempts of this sidecar in flight
    double latency_ratio = 0;  ///< moving average over this sidecar's attempts; 0: not known
    bool reachable = true;     ///< false from a connect failure until the next success
    EjectionState ejection;
    Suspicion suspicion;
    EvidenceState evidence;
};

class EndpointTable {
public:
    using Records = std::map<EndpointId, EndpointRecord>;

    /// Must not be called for updates of kind failed. The records of removed endpoints stay until
    /// erase_if_removed_and_idle().
    void apply(const EndpointUpdate& update);
    /// Ids of the removed endpoints without attempts in flight, in order.
    std::vector<EndpointId> removed_and_idle() const;
    /// Erases the record if the endpoint is removed and has no attempts in flight; returns whether it did.
    bool erase_if_removed_and_idle(EndpointId id);

    /// Null if the id is unknown.
    EndpointRecord* find(EndpointId id) {
        const auto record = records_.find(id);
        return record == records_.end() ? nullptr : &record->second;
    }
    Records& records() { return records_; }
    const Records& records() const { return records_; }
    std::size_t size() const { return records_.size(); }
    std::size_t listed_count() const;

    /// The endpoints that are listed and serving, in the order of ids; only these can get requests. The index
    /// is rebuilt on a list change, so that a request does not walk the complete list.
    const std::vector<EndpointRecord*>& in_service() const { return in_service_; }
    double in_service_weight() const { return in_service_weight_; }
    /// Capacity of the endpoints in service; a cold endpoint counts with its slow-start share.
    double capacity(const SlowStart& slow_start) const;

private:
    void update(const Endpoint& info);
    void rebuild_in_service();

    Records records_;
    std::vector<EndpointRecord*> in_service_;
    double in_service_weight_ = 0;
};

}  // namespace ochregrade::detail
