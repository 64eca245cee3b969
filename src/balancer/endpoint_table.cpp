#include "balancer/endpoint_table.hpp"

#include "balancer/slow_start.hpp"

namespace ochregrade::detail {

void EndpointTable::apply(const EndpointUpdate& update_event) {
    if (update_event.kind != EndpointUpdateKind::incremental)
        for (auto& [id, record] : records_) record.listed = false;
    for (const Endpoint& info : update_event.endpoints) update(info);
    rebuild_in_service();
}

void EndpointTable::update(const Endpoint& info) {
    const auto [entry, is_new] = records_.try_emplace(info.id);
    EndpointRecord& record = entry->second;
    if (is_new || info.started_at > record.info.started_at) {
        // What is known about a previous process does not apply to a new or restarted one: ejection, evidence
        // and reachability are reset. Suspicion and latency ratio are not reset.
        record.ejection.reset();
        record.evidence.reset();
        record.reachable = true;
    }
    record.info = info;
    if (!(record.info.capacity_weight > 0)) record.info.capacity_weight = 1;  // invalid: the default
    record.listed = info.state != EndpointState::removed;
}

void EndpointTable::rebuild_in_service() {
    in_service_.clear();
    in_service_weight_ = 0;
    for (auto& [id, record] : records_) {
        if (!record.is_serving()) continue;
        in_service_.push_back(&record);
        in_service_weight_ += record.info.capacity_weight;
    }
}

std::vector<EndpointId> EndpointTable::removed_and_idle() const {
    std::vector<EndpointId> ids;
    for (const auto& [id, record] : records_)
        if (!record.listed && record.in_flight == 0) ids.push_back(id);
    return ids;
}

bool EndpointTable::erase_if_removed_and_idle(EndpointId id) {
    const auto entry = records_.find(id);
    if (entry == records_.end() || entry->second.listed || entry->second.in_flight > 0) return false;
    records_.erase(entry);
    return true;
}

std::size_t EndpointTable::listed_count() const {
    std::size_t listed = 0;
    for (const auto& [id, record] : records_) listed += record.listed;
    return listed;
}

double EndpointTable::capacity(const SlowStart& slow_start) const {
    double total = 0;
    for (const auto& [id, record] : records_)
        if (record.is_serving()) total += record.info.capacity_weight * slow_start.slow_start_share(record);
    return total;
}

}  // namespace ochregrade::detail
