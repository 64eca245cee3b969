// Connects the Balancer to the sockets: turns what happens to requests, attempts, timers and endpoints into
// balancer events, which are handled in order and never re-entrantly, and executes the balancer's actions in
// order. The driver makes no load-balancing decision: it neither chooses endpoints nor retries or rejects
// requests.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "common/trace.hpp"
#include "control/config.hpp"
#include "control/config_versions.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/endpoint_table.hpp"
#include "proxy/labels.hpp"
#include "proxy/pending_request.hpp"
#include "proxy/rule_guard.hpp"
#include "proxy/timer_queue.hpp"
#include "proxy/upstream_pool.hpp"
#include "proxy/zones.hpp"
#include "replication/records.hpp"

namespace ochregrade::sidecar {

class DiscoveryClient;
class GossipTransport;

/// The state learned about one endpoint process (a name with its start time) that is preserved across
/// restarts of the sidecar.
struct NamedEndpointSnapshot {
    std::string name;
    Millis started_at = 0;   // Unix milliseconds, as discovery reports it
    Millis ejected_for = 0;  // milliseconds left of the ejection; 0: not ejected
    double latency_ratio = 0;
};

class BalancerDriver {
public:
    BalancerDriver(asio::io_context& io, const Clock& clock, Zones& zones, ConfigSnapshotPtr snapshot,
                   UpstreamPool::Limits limits);
    ~BalancerDriver();
    void connect_to(DiscoveryClient& discovery, GossipTransport* gossip);
    /// Starts the balancer, with the endpoint list in the configuration (Config::known_endpoints) if there is
    /// one; that list may be restored from the previous run.
    void start();
    /// Applies a configuration to requests that start from now on. Events that are queued already are handled
    /// with the previous configuration. Must not be called from within an event.
    void apply(ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits);
    /// Called when a request's final response is sent, unless that response is a forwarded 4xx. `version`: of
    /// the request's configuration; `served`: an endpoint has processed the request successfully.
    std::function<void(std::uint64_t version, bool served)> on_final_response;

    /// Called with evidence to be shared with the other sidecars.
    std::function<void(replication::EndpointKey endpoint, const replication::Evidence& evidence)> on_evidence;

    /// Starts a request that has arrived completely; `time_left` in milliseconds. The final response is sent
    /// later, through `client`.
    RequestId request_arrived(RequestPtr request, Millis time_left, std::weak_ptr<Client> client,
                              ConfigSnapshotPtr snapshot);
    /// Returns whether the request must not be run again: it is not idempotent, and it may have run or may
    /// yet.
    bool client_disconnected(RequestId id);
    /// Fails a request (502) before its deadline, because of what is pipelined behind it: responses to other
    /// requests are due, or there is so much that a disconnect behind it can't be found.
    void fail_for_pipelined(RequestId id);

    /// Applies a list from discovery. `cached`: the list was not received in this run but is in the
    /// configuration or restored.
    void endpoints_received(const EndpointList& endpoints, bool cached = false);
    /// Called when a call to discovery has failed.
    void discovery_failed();
    replication::EndpointKey endpoint_key_of(const ListedEndpoint& endpoint) const;
    /// Passes evidence from other sidecars to the balancer, except about endpoints that are not listed here.
    void evidence_received(const std::vector<replication::EndpointTotals>& evidence);
    void gossip_received(std::uint32_t from, std::vector<std::uint8_t> bytes);

    /// The listed endpoints and the state learned about them, to be restored by the next run.
    EndpointList endpoints() const { return endpoints_.list(); }
    std::vector<NamedEndpointSnapshot> endpoint_snapshots() const;
    void restore(const std::vector<NamedEndpointSnapshot>& snapshots);

    bool has_endpoints() const { return has_endpoints_; }
    std::size_t pending_requests() const { return pending_requests_; }
    const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
    /// Counters since the sidecar started; requests are counted by how they ended.
    struct Totals {
        std::uint64_t arrived = 0, served = 0, rejected = 0, failed = 0, forwarded_errors = 0,
                      client_disconnects = 0;
        std::uint64_t attempts = 0, probes = 0, gossip_sent = 0, connects = 0;
        // Final responses that the sidecar generated itself, by reason.
        std::array<std::uint64_t, static_cast<std::size_t>(EndReason::count)> rejections{}, failures{};
        // Attempts after the first one of a request, by the outcome of the attempt that ended last. The last
        // element counts hedges: another attempt was still in flight.
        std::array<std::uint64_t, kOutcomeCount + 1> retries{};
    };
    const Totals& totals() const { return totals_; }
    /// Checks every action that a rule of the protocol may forbid.
    RuleGuard& rule_guard() { return rule_guard_; }
    const RuleGuard& rule_guard() const { return rule_guard_; }
    /// What the driver, the upstream connections and the balancer keep in memory now. `requests`: the
    /// driver's entries plus the balancer's. `endpoints`: in the endpoint table; `known_endpoints`: in the
    /// balancer. `pools`: connection pools. Once all requests, attempts and probes have ended, `requests` and
    /// `attempts` are 0 and only the listed endpoints are counted.
    struct Usage {
        std::size_t requests = 0, attempts = 0, endpoints = 0, known_endpoints = 0, pools = 0,
                    connections = 0, ejected = 0;
    };
    Usage usage() const;
    /// The memory for responses, which a client's session reserves while it writes one.
    const std::shared_ptr<MemoryBudget>& response_memory() const { return upstream_.response_memory(); }
    /// Closed upstream connections, by reason.
    const CloseCounts& upstream_closes() const { return upstream_.closes(); }

private:
    void enqueue(Event event);
    void handle_events();
    void start_timer();
    void on_timer();
    void attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response);
    void forward_response(RequestId id, PendingRequest& request, HttpResponse& response, bool request_error);
    void probe_ended(EndpointId id, Outcome outcome, Millis duration);
    bool may_write(AttemptKey key, bool partly_written);
    PendingRequest* find_request(RequestId id);
    bool may_have_run(RequestId id, const RequestFacts& facts) const;
    void count_attempt(AttemptKey key, const PendingRequest& request);
    void remove_request_if_done(RequestId id);
    void release_endpoint(EndpointId id);
    void send_final_response(RequestId id, PendingRequest& request, HttpResponse response,
                             std::uint64_t& total);
    void trace(std::string_view event, const PendingRequest& request,
               std::initializer_list<std::pair<std::string_view, nlohmann::json>> details) const;

    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const RejectRequest& action);
    void execute(const FailRequest& action);
    void execute(const SetTimer& action);
    void execute(const SendProbe& action);
    void execute(const CloseIdleConnections& action);
    void execute(const SendGossip& action);
    void execute(const SubscribeEndpoints& action);
    void execute(const FetchEndpoints& action);
    void execute(const LogMessage& action);
    void execute(const PublishEvidence& action);

    asio::io_context& io_;
    const Clock& clock_;
    ConfigSnapshotPtr snapshot_;
    Totals totals_;
    RuleGuard rule_guard_;
    Balancer balancer_;
    UpstreamPool upstream_;
    DiscoveryClient* discovery_ = nullptr;
    GossipTransport* gossip_ = nullptr;

    std::deque<Event> events_;
    bool handling_posted_ = false;
    std::vector<Action> actions_;
    TimerQueue timers_;
    asio::steady_timer timer_;
    Millis timer_set_for_ = 0;  // Clock milliseconds; 0: not running

    std::unordered_map<RequestId, PendingRequest> requests_;  // also ended requests with attempts in flight
    RequestId next_request_id_ = 1;
    std::size_t pending_requests_ = 0;  // requests that have not ended
    EndpointTable endpoints_;
    bool has_endpoints_ = false;
};

}  // namespace ochregrade::sidecar
