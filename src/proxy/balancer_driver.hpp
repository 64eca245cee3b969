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

class Discovery;
class Peers;

// Whoever waits for a request's answer.
class Client {
public:
    virtual ~Client() = default;
    virtual void answer(HttpResponse response) = 0;  // exactly once for each request
    // Leaves at once (client_gone) if it has left and nobody has noticed yet.
    virtual void notice_leaving() = 0;
};

// What is costly to learn anew about a server, by its name and start.
struct LearntServer {
    std::string name;
    Millis born = 0;
    Millis removed_for = 0;  // 0: it is in the pool
    double pace = 0;
};

// As in the metrics and the trace.
std::string_view name_of(EndReason reason);
std::string_view name_of(Outcome outcome);

// Numbers for zones, the same from one generation of the configuration to the next.
class Zones {
public:
    ZoneId number(const std::string& name);  // a name not met before gets the next one

private:
    static constexpr std::size_t kMost = 1024;  // whatever discovery says: further ones share a number
    std::unordered_map<std::string, ZoneId> numbers_;
};

class Sidecar {
public:
    Sidecar(asio::io_context& io, const Clock& clock, Zones& zones, SnapshotPtr snapshot,
            Upstream::Limits limits);
    ~Sidecar();
    void connect_to(Discovery& discovery, Peers* peers);
    void start();  // with the list held from before, if there is one
    // In force for what begins from here on. What has happened so far is handled by what was in force then.
    // Not from within an event.
    void use(SnapshotPtr snapshot, Upstream::Limits limits);
    // The final answer of each request, by the generation that it began with.
    std::function<void(std::uint64_t generation, bool served)> on_answer;

    // What is to be shared with the other sidecars, by the server's key.
    std::function<void(replication::ServerKey server, const replication::Evidence& evidence)> on_share;

    // From clients. The answer comes later, through the client.
    RequestId arrived(RequestPtr request, Millis time_left, std::weak_ptr<Client> client,
                      SnapshotPtr snapshot);
    void client_gone(RequestId id);
    // Answers a request as failed before its time: others behind it on its connection are owed theirs.
    void fail_for_those_behind(RequestId id);

    // From discovery and from other sidecars.
    void told(const HostList& list, bool saved = false);
    void list_failed();
    replication::ServerKey key_of(const Host& host);
    // What the other sidecars share; servers that are not listed here are passed over.
    void fleet_said(const std::vector<replication::ServerEvidence>& evidence);
    void peer_said(std::uint32_t from, std::vector<std::uint8_t> bytes);

    // For a later life, and from an earlier one.
    HostList list() const;
    std::vector<LearntServer> learnt() const;
    void recall(const std::vector<LearntServer>& learnt);

    bool holds_list() const { return holds_list_; }
    std::size_t unanswered() const { return unanswered_; }
    const SnapshotPtr& snapshot() const { return snapshot_; }
    // Since the start, by how they ended.
    struct Totals {
        std::uint64_t arrived = 0, served = 0, refused = 0, failed = 0, passed_on = 0, left = 0;
        std::uint64_t attempts = 0, probes = 0, told = 0, connects = 0;
        // Final answers that are no server's, by reason; attempts after the first, by how the one before
        // ended (the last place: it was still in flight, a hedge).
        std::array<std::uint64_t, static_cast<std::size_t>(EndReason::count)> refusals{}, failures{};
        std::array<std::uint64_t, kOutcomes + 1> retries{};
    };
    const Totals& totals() const { return totals_; }
    // Every action that a rule may forbid passes this one.
    RuleGuard& rule_guard() { return rule_guard_; }
    const RuleGuard& rule_guard() const { return rule_guard_; }
    // What is held at present, here, on the sockets and in the module. At rest no request is, and of servers
    // only those listed.
    struct Held {
        std::size_t requests = 0, attempts = 0, servers = 0, records = 0, pools = 0, connections = 0,
                    removed = 0;
    };
    Held held() const;
    const CloseCounts& server_closes() const { return upstream_.closes(); }

private:
    struct Request {
        std::string correlation_id;
        RequestPtr message;
        std::weak_ptr<Client> client;
        SnapshotPtr snapshot;  // that it began with
        std::uint32_t out = 0;
        bool ended = false;  // answered, or its client has left
        RequestFacts facts;
        std::optional<Outcome> last_outcome;  // none: no attempt has ended yet
    };
    struct Server {
        std::string name;
        tcp::endpoint dial;
        Phase phase = Phase::on;
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
    void probe_ended(ServerId id, Outcome outcome, Millis duration);
    bool may_write(AttemptKey key, bool begun);
    ServerFacts facts_of(ServerId id) const;
    ServerId server(const std::string& name);
    void drop_server(ServerId id);
    void drop_request(RequestId id);
    void answer(RequestId id, Request& request, HttpResponse response, std::uint64_t& total);
    void trace(std::string_view event, const Request& request,
               std::initializer_list<std::pair<std::string_view, nlohmann::json>> more) const;

    void carry_out(const Send& a);
    void carry_out(const Cancel& a);
    void carry_out(const Refuse& a);
    void carry_out(const GiveUp& a);
    void carry_out(const SetTimer& a);
    void carry_out(const Probe& a);
    void carry_out(const CloseIdle& a);
    void carry_out(const TellPeer& a);
    void carry_out(const Subscribe& a);
    void carry_out(const FetchList& a);
    void carry_out(const Log& a);
    void carry_out(const Share& a);

    asio::io_context& io_;
    const Clock& clock_;
    Zones& zones_;
    SnapshotPtr snapshot_;
    Totals totals_;
    RuleGuard rule_guard_;
    Balancer balancer_;
    Upstream upstream_;
    Discovery* discovery_ = nullptr;
    Peers* peers_ = nullptr;

    std::deque<Event> events_;
    bool pump_posted_ = false;
    std::vector<Action> actions_;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
    std::uint64_t due_order_ = 0;
    asio::steady_timer timer_;
    Millis armed_for_ = 0;

    std::unordered_map<RequestId, Request> requests_;
    RequestId next_request_ = 1;
    std::size_t unanswered_ = 0;
    std::unordered_map<std::string, ServerId> server_ids_;
    std::map<ServerId, Server> servers_;
    StartTimes start_times_;
    bool holds_list_ = false;
};

}  // namespace ochregrade::sidecar
