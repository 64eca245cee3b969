// Connects the Balancer to the sockets: what happens becomes its events, handled in order and never
// re-entrantly, and its actions are executed in order. Makes no decision of its own: it neither chooses
// endpoints nor retries or rejects requests.
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

/// The learned state of an endpoint that is kept across restarts of the sidecar, for one start of the
/// endpoint.
struct NamedEndpointSnapshot {
    std::string name;
    Millis started_at = 0;   // Unix milliseconds
    Millis ejected_for = 0;  // milliseconds left; 0: not ejected
    double latency_ratio = 0;
};

class BalancerDriver {
public:
    BalancerDriver(asio::io_context& io, const Clock& clock, Zones& zones, ConfigSnapshotPtr snapshot,
                   UpstreamPool::Limits limits);
    ~BalancerDriver();
    void connect_to(DiscoveryClient& discovery, GossipTransport* gossip);
    /// Starts the balancer, with the endpoint list kept from before if there is one.
    void start();
    /// Puts a configuration in force for requests that begin from now on. Events so far are handled by the
    /// one in force before. Must not be called from within an event.
    void apply(ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits);
    /// Called with the final answer of each request, by the configuration version that it began with.
    std::function<void(std::uint64_t version, bool served)> on_final_answer;

    /// Called with evidence to be shared with the other sidecars.
    std::function<void(replication::EndpointKey endpoint, const replication::Evidence& evidence)> on_evidence;

    /// A request has arrived completely; `time_left` in milliseconds. The answer comes later, through the
    /// client.
    RequestId request_arrived(RequestPtr request, Millis time_left, std::weak_ptr<Client> client,
                              ConfigSnapshotPtr snapshot);
    void client_disconnected(RequestId id);
    /// Answers a request as failed before its deadline: requests pipelined behind it are due.
    void fail_for_pipelined(RequestId id);

    /// A list from discovery; `cached`: kept from an earlier run.
    void endpoints_received(const EndpointList& endpoints, bool cached = false);
    /// A call to discovery failed.
    void endpoints_failed();
    replication::EndpointKey endpoint_key_of(const ListedEndpoint& endpoint) const;
    /// Evidence from the other sidecars; endpoints that are not listed here are ignored.
    void evidence_received(const std::vector<replication::EndpointTotals>& evidence);
    void gossip_received(std::uint32_t from, std::vector<std::uint8_t> bytes);

    /// The listed endpoints and what was learned about them, to be restored after a restart.
    EndpointList endpoints() const { return endpoints_.list(); }
    std::vector<NamedEndpointSnapshot> endpoint_snapshots() const;
    void restore(const std::vector<NamedEndpointSnapshot>& snapshots);

    bool has_endpoints() const { return has_endpoints_; }
    std::size_t pending_requests() const { return pending_requests_; }
    const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
    /// Counts since the start; requests by how they ended.
    struct Totals {
        std::uint64_t arrived = 0, served = 0, rejected = 0, failed = 0, forwarded_errors = 0,
                      client_disconnects = 0;
        std::uint64_t attempts = 0, probes = 0, gossip_sent = 0, connects = 0;
        // Final answers that are not an endpoint's, by reason.
        std::array<std::uint64_t, static_cast<std::size_t>(EndReason::count)> rejections{}, failures{};
        // Attempts after the first, by the outcome of the one before; the last element: it was still in
        // flight (a hedge).
        std::array<std::uint64_t, kOutcomeCount + 1> retries{};
    };
    const Totals& totals() const { return totals_; }
    /// Checks every action that a rule may forbid.
    RuleGuard& rule_guard() { return rule_guard_; }
    const RuleGuard& rule_guard() const { return rule_guard_; }
    /// What is in use now, here, on the sockets and in the balancer. At rest: no requests, and only the
    /// listed endpoints.
    struct Usage {
        std::size_t requests = 0, attempts = 0, endpoints = 0, known_endpoints = 0, pools = 0,
                    connections = 0, ejected = 0;
    };
    Usage usage() const;
    /// Closed upstream connections, by reason.
    const CloseCounts& server_closes() const { return upstream_.closes(); }

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
    void count_attempt(AttemptKey key, const PendingRequest& request);
    void remove_request_if_done(RequestId id);
    void release_endpoint(EndpointId id);
    void answer(RequestId id, PendingRequest& request, HttpResponse response, std::uint64_t& total);
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
    Millis timer_set_for_ = 0;  // 0: not running

    std::unordered_map<RequestId, PendingRequest> requests_;  // also those that ended with attempts in flight
    RequestId next_request_id_ = 1;
    std::size_t pending_requests_ = 0;  // not yet answered
    EndpointTable endpoints_;
    bool has_endpoints_ = false;
};

}  // namespace ochregrade::sidecar
