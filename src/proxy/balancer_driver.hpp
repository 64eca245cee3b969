// Translates between the sockets and the Balancer: what happens becomes events, in order and never
// re-entrantly; its actions are carried out in order. Nothing is chosen, retried or refused here.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "common/trace.hpp"
#include "control/config.hpp"
#include "control/config_versions.hpp"
#include "discovery/start_times.hpp"
#include "ochregrade/balancer.hpp"
#include "proxy/rule_guard.hpp"
#include "proxy/upstream_pool.hpp"
#include "replication/records.hpp"

namespace ochregrade::sidecar {

class DiscoveryClient;
class GossipTransport;

// Whoever waits for a request's answer.
class Client {
public:
    virtual ~Client() = default;
    virtual void answer(HttpResponse response) = 0;  // exactly once for each request
    // Leaves at once (client_gone) if it has left and nobody has noticed yet.
    virtual void check_disconnected() = 0;
};

// What is costly to learn anew about a server, by its name and start.
struct NamedEndpointSnapshot {
    std::string name;
    Millis started_at = 0;
    Millis ejected_for = 0;  // 0: it is in the pool
    double latency_ratio = 0;
};

// As in the metrics and the trace.
std::string_view to_string(EndReason reason);
std::string_view to_string(Outcome outcome);

// Numbers for zones, the same from one generation of the configuration to the next.
class Zones {
public:
    ZoneId number(const std::string& name);  // a name not met before gets the next one

private:
    static constexpr std::size_t kMost = 1024;  // whatever discovery says: further ones share a number
    std::unordered_map<std::string, ZoneId> numbers_;
};

class BalancerDriver {
public:
    BalancerDriver(asio::io_context& io, const Clock& clock, Zones& zones, ConfigSnapshotPtr snapshot,
                   UpstreamPool::Limits limits);
    ~BalancerDriver();
    void connect_to(DiscoveryClient& discovery, GossipTransport* peers);
    void start();  // with the list held from before, if there is one
    // In force for what begins from here on. What has happened so far is handled by what was in force then.
    // Not from within an event.
    void apply(ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits);
    // The final answer of each request, by the generation that it began with.
    std::function<void(std::uint64_t generation, bool served)> on_final_answer;

    // What is to be shared with the other sidecars, by the server's key.
    std::function<void(replication::EndpointKey server, const replication::Evidence& evidence)> on_evidence;

    // From clients. The answer comes later, through the client.
    RequestId request_arrived(RequestPtr request, Millis time_left, std::weak_ptr<Client> client,
                              ConfigSnapshotPtr snapshot);
    void client_disconnected(RequestId id);
    // Answers a request as failed before its time: others behind it on its connection are owed theirs.
    void fail_for_pipelined(RequestId id);

    // From discovery and from other sidecars.
    void endpoints_received(const EndpointList& endpoints, bool saved = false);
    void endpoints_failed();
    replication::EndpointKey endpoint_key_of(const ListedEndpoint& host);
    // What the other sidecars share; servers that are not listed here are passed over.
    void evidence_received(const std::vector<replication::EndpointTotals>& evidence);
    void gossip_received(std::uint32_t from, std::vector<std::uint8_t> bytes);

    // For a later life, and from an earlier one.
    EndpointList endpoints() const;
    std::vector<NamedEndpointSnapshot> endpoint_snapshots() const;
    void restore(const std::vector<NamedEndpointSnapshot>& endpoint_snapshots);

    bool has_endpoints() const { return has_endpoints_; }
    std::size_t pending_requests() const { return pending_requests_; }
    const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
    // Since the start, by how they ended.
    struct Totals {
        std::uint64_t arrived = 0, served = 0, rejected = 0, failed = 0, forwarded_errors = 0,
                      client_disconnects = 0;
        std::uint64_t attempts = 0, probes = 0, gossip_sent = 0, connects = 0;
        // Final answers that are no server's, by reason; attempts after the first, by how the one before
        // ended (the last place: it was still in flight, a hedge).
        std::array<std::uint64_t, static_cast<std::size_t>(EndReason::count)> rejections{}, failures{};
        std::array<std::uint64_t, kOutcomeCount + 1> retries{};
    };
    const Totals& totals() const { return totals_; }
    // Every action that a rule may forbid passes this one.
    RuleGuard& rule_guard() { return rule_guard_; }
    const RuleGuard& rule_guard() const { return rule_guard_; }
    // What is held at present, here, on the sockets and in the module. At rest no request is, and of servers
    // only those listed.
    struct Usage {
        std::size_t requests = 0, attempts = 0, endpoints = 0, known_endpoints = 0, pools = 0,
                    connections = 0, ejected = 0;
    };
    Usage usage() const;
    const CloseCounts& server_closes() const { return upstream_.closes(); }

private:
    struct Request {
        std::string correlation_id;
        RequestPtr message;
        std::weak_ptr<Client> client;
        ConfigSnapshotPtr snapshot;  // that it began with
        std::uint32_t out = 0;
        bool ended = false;  // answered, or its client has left
        RequestFacts facts;
        std::optional<Outcome> last_outcome;  // none: no attempt has ended yet
    };
    struct Server {
        std::string name;
        tcp::endpoint dial;
        EndpointState phase = EndpointState::serving;
        Millis born = 0;     // as told, Unix time: which start it is
        Millis started = 0;  // the same on our clock
        std::string zone;
        std::uint32_t cell = 0;
        double units = 1;
        bool listed = false;
        std::uint32_t out = 0;  // attempts and probes
    };
    // A time-out of an attempt comes before a timer for the same moment: a request that is over at its
    // deadline has then seen how its attempt ended.
    struct Due {
        Millis at = 0;
        int rank = 0;
        std::uint64_t order = 0;
        std::optional<AttemptKey> attempt;
        TimerToken token = 0;
        bool operator>(const Due& other) const {
            return std::tie(at, rank, order) > std::tie(other.at, other.rank, other.order);
        }
    };

    void push(Event event);
    void pump();
    void arm();
    void fire();
    void attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response);
    void probe_ended(EndpointId id, Outcome outcome, Millis duration);
    bool may_write(AttemptKey key, bool begun);
    EndpointFacts facts_of(EndpointId id) const;
    EndpointId server(const std::string& name);
    void drop_server(EndpointId id);
    void drop_request(RequestId id);
    void answer(RequestId id, Request& request, HttpResponse response, std::uint64_t& total);
    void trace(std::string_view event, const Request& request,
               std::initializer_list<std::pair<std::string_view, nlohmann::json>> more) const;

    void carry_out(const SendAttempt& a);
    void carry_out(const CancelAttempt& a);
    void carry_out(const RejectRequest& a);
    void carry_out(const FailRequest& a);
    void carry_out(const SetTimer& a);
    void carry_out(const SendProbe& a);
    void carry_out(const CloseIdleConnections& a);
    void carry_out(const SendGossip& a);
    void carry_out(const SubscribeEndpoints& a);
    void carry_out(const FetchEndpoints& a);
    void carry_out(const LogMessage& a);
    void carry_out(const PublishEvidence& a);

    asio::io_context& io_;
    const Clock& clock_;
    Zones& zones_;
    ConfigSnapshotPtr snapshot_;
    Totals totals_;
    RuleGuard rule_guard_;
    Balancer balancer_;
    UpstreamPool upstream_;
    DiscoveryClient* discovery_ = nullptr;
    GossipTransport* peers_ = nullptr;

    std::deque<Event> events_;
    bool pump_posted_ = false;
    std::vector<Action> actions_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::uint64_t due_order_ = 0;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;

    std::unordered_map<RequestId, Request> requests_;
    RequestId next_request_ = 1;
    std::size_t pending_requests_ = 0;
    std::unordered_map<std::string, EndpointId> server_ids_;
    std::map<EndpointId, Server> servers_;
    StartTimes start_times_;
    bool has_endpoints_ = false;
};

}  // namespace ochregrade::sidecar
