#include "proxy/endpoint_table.hpp"

#include <algorithm>
#include <utility>

#include "common/endpoint_id.hpp"
#include "fleet/replication_driver.hpp"

namespace ochregrade::sidecar {

UpstreamEndpoint* EndpointTable::find(EndpointId id) {
    const auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second;
}

const UpstreamEndpoint* EndpointTable::find(EndpointId id) const {
    const auto at = endpoints_.find(id);
    return at == endpoints_.end() ? nullptr : &at->second;
}

std::optional<EndpointId> EndpointTable::find_id(const std::string& name) const {
    const auto at = ids_.find(name);
    if (at == ids_.end()) return {};
    return at->second;
}

EndpointId EndpointTable::find_or_add(const std::string& name) {
    if (const auto known = find_id(name)) return *known;
    const EndpointId id =
        endpoint_id(name, [this](EndpointId candidate) { return endpoints_.count(candidate) > 0; });
    ids_[name] = id;
    endpoints_[id].name = name;
    return id;
}

EndpointTable::Changes EndpointTable::update(const EndpointList& list) {
    Changes changes;
    start_times_.observe(clock_.wall_error());
    if (list.complete)
        for (auto& [id, endpoint] : endpoints_) endpoint.listed = false;
    std::vector<EndpointId> updated;
    for (const ListedEndpoint& listed : list.endpoints) {
        updated.push_back(find_or_add(listed.name));
        apply(updated.back(), listed, changes);
    }
    for (const EndpointId id : update_replaced()) updated.push_back(id);
    for (const EndpointId id : updated) changes.updates.push_back(for_balancer(id));
    return changes;
}

void EndpointTable::apply(EndpointId id, const ListedEndpoint& listed, Changes& changes) {
    UpstreamEndpoint& endpoint = endpoints_[id];
    const bool restarted = endpoint.started_at != listed.started_at;
    // If the endpoint has a new process or a new address, its open connections are useless. Its pending
    // connections may reach the wrong process, because another endpoint may use the old address by now.
    if (restarted || endpoint.address != listed.address) changes.moved.push_back(id);
    if (restarted) endpoint.started_at_clock = start_times_.to_process_clock(listed.started_at, clock_.now());
    endpoint.started_at = listed.started_at;
    endpoint.zone = listed.zone;
    endpoint.cell = listed.cell;
    endpoint.capacity_weight = listed.capacity_weight;
    endpoint.state = listed.state;
    endpoint.listed = listed.state != EndpointState::removed;
    if (endpoint.listed) endpoint.address = listed.address;
}

// Returns the endpoints that are replaced now and were not before, or the other way round. Endpoints that
// share an address and a start time are not replaced: they may be behind one proxy.
std::vector<EndpointId> EndpointTable::update_replaced() {
    std::map<tcp::endpoint, Millis> latest_start;  // at each address
    for (const auto& [id, endpoint] : endpoints_) {
        if (!endpoint.listed) continue;
        Millis& start = latest_start[endpoint.address];
        start = std::max(start, endpoint.started_at);
    }
    std::vector<EndpointId> changed;
    for (auto& [id, endpoint] : endpoints_) {
        const bool replaced = endpoint.listed && endpoint.started_at < latest_start[endpoint.address];
        if (std::exchange(endpoint.replaced, replaced) != replaced) changed.push_back(id);
    }
    return changed;
}

Endpoint EndpointTable::for_balancer(EndpointId id) const {
    const UpstreamEndpoint& endpoint = endpoints_.at(id);
    return {id,
            zones_.id_of(endpoint.zone),
            endpoint.cell,
            endpoint.replaced ? EndpointState::removed : endpoint.state,
            endpoint.started_at_clock,
            endpoint.capacity_weight};
}

std::vector<EndpointId> EndpointTable::not_serving() const {
    std::vector<EndpointId> ids;
    for (const auto& [id, endpoint] : endpoints_)
        if (!endpoint.is_serving()) ids.push_back(id);
    return ids;
}

void EndpointTable::remove_if_unused(EndpointId id) {
    const auto at = endpoints_.find(id);
    if (at == endpoints_.end() || at->second.listed || at->second.in_flight > 0) return;
    ids_.erase(at->second.name);
    endpoints_.erase(at);
}

EndpointList EndpointTable::list() const {
    EndpointList list;
    list.complete = true;
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.listed)
            list.endpoints.push_back({endpoint.name, endpoint.address, endpoint.zone, endpoint.cell,
                                      endpoint.state, endpoint.started_at, endpoint.capacity_weight});
    return list;
}

EndpointFacts EndpointTable::facts(EndpointId id) const {
    const UpstreamEndpoint* endpoint = find(id);
    if (!endpoint) return {};
    return {endpoint->is_serving(), zones_.id_of(endpoint->zone), endpoint->cell};
}

replication::EndpointKey EndpointTable::key_of(const ListedEndpoint& listed) const {
    const auto known = find_id(listed.name);
    const EndpointId id = known ? *known : endpoint_id(listed.name, [](EndpointId) { return false; });
    return endpoint_key(id, listed.started_at);
}

std::unordered_map<replication::EndpointKey, EndpointId> EndpointTable::ids_by_key() const {
    std::unordered_map<replication::EndpointKey, EndpointId> ids;
    for (const auto& [id, endpoint] : endpoints_)
        if (endpoint.listed) ids.emplace(endpoint_key(id, endpoint.started_at), id);
    return ids;
}

}  // namespace ochregrade::sidecar
