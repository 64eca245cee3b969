// Endpoint table: who is listed, who is in service and how much capacity that is.
//
// Input: endpoint updates of discovery. Output: a record for each endpoint that is listed or has attempts in
// flight, in the order of ids, and the index of those in service. Capacity is in units of registered capacity
// weight.
#pragma once

#include <map>
#include <vector>

#include "balancer/ejection_state.hpp"
#include "balancer/evidence_state.hpp"
#include "balancer/suspicion.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

class SlowStart;

/// All that is known of an endpoint. The states at the end belong to the modules named after them, which
/// alone change them.
struct EndpointRecord {
    bool is_serving() const { return listed && info.state == EndpointState::serving; }

    Endpoint info;
    bool listed = true;
    int in_flight = 0;         ///< attempts of this sidecar
    double latency_ratio = 0;  ///< of recent answers; 0: not known
    bool reachable = true;     ///< its last connection came up
    EjectionState ejection;
    Suspicion suspicion;
    EvidenceState evidence;
};

class EndpointTable {
public:
    using Records = std::map<EndpointId, EndpointRecord>;

    /// Not for updates of kind failed. Endpoints that are gone stay until erase_if_gone().
    void apply(const EndpointUpdate& update);
    /// Ids of those not listed and without attempts in flight, in order.
    std::vector<EndpointId> gone() const;
    /// Whether it was gone and has been erased.
    bool erase_if_gone(EndpointId id);

    /// Null if not known.
    EndpointRecord* find(EndpointId id) {
        const auto record = records_.find(id);
        return record == records_.end() ? nullptr : &record->second;
    }
    Records& records() { return records_; }
    const Records& records() const { return records_; }
    std::size_t size() const { return records_.size(); }
    std::size_t listed_count() const;

    /// Listed and serving, in the order of ids: no other endpoint is drawn. A long list is walked once for
    /// each change of it, not for each request.
    const std::vector<EndpointRecord*>& in_service() const { return in_service_; }
    double in_service_weight() const { return in_service_weight_; }
    /// Of those in service, less what cold ones cannot do yet.
    double capacity(const SlowStart& slow_start) const;

private:
    void update(const Endpoint& info);
    void rebuild_in_service();

    Records records_;
    std::vector<EndpointRecord*> in_service_;
    double in_service_weight_ = 0;
};

}  // namespace ochregrade::detail
