// The endpoints that the sidecar knows, by id: endpoints that discovery lists, and removed endpoints while
// attempts or probes are in flight to them. Uses no sockets.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "control/config.hpp"
#include "discovery/start_times.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/rule_guard.hpp"
#include "proxy/zones.hpp"
#include "replication/records.hpp"

namespace ochregrade::sidecar {

struct UpstreamEndpoint {
    std::string name;
    tcp::endpoint address;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;        // Unix milliseconds, as discovery reports it; identifies the process
    Millis started_at_clock = 0;  // the same time in Clock milliseconds
    std::string zone;
    std::uint32_t cell = 0;
    double capacity_weight = 1;
    bool listed = false;
    // Another listed endpoint has started later at the same address, so this one has gone.
    bool replaced = false;
    std::uint32_t in_flight = 0;  // attempts and probes

    /// Whether new requests may be sent to it.
    bool is_serving() const { return listed && !replaced && state == EndpointState::serving; }
};

class EndpointTable {
public:
    EndpointTable(const Clock& clock, Zones& zones) : clock_(clock), zones_(zones) {}

    /// The endpoint with this id; null if there is none.
    UpstreamEndpoint* find(EndpointId id);
    const UpstreamEndpoint* find(EndpointId id) const;
    std::optional<EndpointId> find_id(const std::string& name) const;
    std::size_t size() const { return endpoints_.size(); }

    struct Changes {
        std::vector<Endpoint> updates;  // for the balancer, in the list's order
        std::vector<EndpointId> moved;  // endpoints with a new process or address, also new endpoints
    };
    /// Applies an endpoint list from discovery. An endpoint that is missing in a complete list is not listed
    /// any more. Only one process can be at an address: where discovery lists a new one before it removes the
    /// one that was there, the older one is passed to the balancer as removed.
    Changes update(const EndpointList& list);
    /// Endpoints to which no new request may be sent: draining, replaced or not listed.
    std::vector<EndpointId> not_serving() const;
    /// Removes the endpoint if it is not listed and no attempt or probe to it is in flight.
    void remove_if_unused(EndpointId id);

    /// All listed endpoints.
    EndpointList list() const;
    /// The facts about the endpoint that the rule guard checks, as of now.
    EndpointFacts facts(EndpointId id) const;
    /// The key of the listed endpoint process in evidence, the same in all sidecars.
    replication::EndpointKey key_of(const ListedEndpoint& listed) const;
    std::unordered_map<replication::EndpointKey, EndpointId> ids_by_key() const;

private:
    EndpointId find_or_add(const std::string& name);
    void apply(EndpointId id, const ListedEndpoint& listed, Changes& changes);
    std::vector<EndpointId> update_replaced();
    Endpoint for_balancer(EndpointId id) const;

    const Clock& clock_;
    Zones& zones_;
    StartTimes start_times_;
    std::unordered_map<std::string, EndpointId> ids_;
    std::map<EndpointId, UpstreamEndpoint> endpoints_;
};

}  // namespace ochregrade::sidecar
