// ochregrade: the decisions of a sidecar balancer, without I/O and without a clock.
//
// One Balancer serves one sidecar. Feed it every event in order with the time at which it happened and carry
// out the actions it appends, in their order, at that same time. Times are milliseconds on any clock that
// never goes back. Servers, zones, requests and peers are named by integers that the caller chooses; their
// values carry no meaning. Same settings, seed and events give the same actions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ochregrade {

using Millis = double;
using EndpointId = std::uint32_t;
using ZoneId = std::uint32_t;
using RequestId = std::uint64_t;
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------------

// Whether an effect may happen twice: freely, within a group of servers that drops repeats, or never.
enum class Idempotency { idempotent, idempotent_with_key, not_idempotent };

// Which servers share the memory of keys already seen (for Idempotency::idempotent_with_key).
enum class DedupScope { all, zone, cell };

struct RequestClass {
    Idempotency idempotency = Idempotency::not_idempotent;
    DedupScope dedup_scope = DedupScope::cell;
    Millis dedup_window = 0;  // repeats are dropped this long after the first attempt that may have run
    Millis latency_objective = 1000;  // an answer within this earns full worth
    double objective_per_effort = 0;  // the aim grows by this multiple of the request's own effort
    double priority_weight = 1;       // of one request, against other classes
};

// Prices in shares of the whole result, as operators state them; 0 leaves a matter out of account.
struct Fees {
    double cross_zone = 0;  // for each attempt that leaves the zone
    double probe = 0;       // for each probe, per request
};

struct Settings {
    std::vector<RequestClass> classes;  // at least one
    std::optional<ZoneId> local_zone;
    std::uint32_t sidecar_count = 1;  // sidecars that share these servers, this one included
    std::uint32_t sidecar_index = 0;  // of these, from 0
    bool polled_discovery = false;    // the server list must be subscribed to
    Millis poll_interval =
        0;  // and counts as known four times this after a call that failed; 0: no such rule
    std::uint32_t max_attempts = 3;  // for one request, the first included
    bool hedging_allowed = false;    // two attempts of one request may be out together
    bool cancel_allowed = true;      // CancelAttempt is permitted
    bool probes_allowed = false;     // SendProbe is permitted
    bool evidence_shared =
        false;  // PublishEvidence is carried out and FleetEvidence comes: sidecars pool what they see
    bool gossip_allowed = false;  // SendGossip is permitted; then a EndpointId is the same at every sidecar
    double slow_start_least_share = 1;  // a starting server has at least this share of its capacity, 0 to 1
    Millis slow_start_duration = 0;     // and all of it after this
    double slow_start_overload_factor =
        2;  // sent more than this multiple of what it can do, a cold server falls over
    Fees fees;
};

using SettingsPtr = std::shared_ptr<const Settings>;

// ---- Events ---------------------------------------------------------------------------------------------

enum class EndpointState { serving, draining, gone };

struct Endpoint {
    EndpointId id = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;       // when it last started; 0: long ago
    double capacity_weight = 1;  // its size against other servers, as registered
};

// incremental: changed entries only. full: the whole list. saved: the whole list as last held before this
// start, possibly stale. failed: a call failed or the subscription broke; the list held stays in force.
enum class EndpointUpdateKind { incremental, full, cached, failed };

enum class Outcome {
    success,
    server_error,      // the server said so; it may have run
    overloaded,        // turned away unseen; never ran
    timeout,           // no answer in time; may have run or be running
    connect_failure,   // no connection; never ran
    connection_reset,  // connection lost while out; may have run
    cancelled,         // withdrawn by us; may have run
    not_sent           // not issued at all; never ran
};

constexpr std::size_t kOutcomeCount = 8;

// Whether an attempt that ended so is certain not to have run.
constexpr bool proves_never_ran(Outcome o) {
    return o == Outcome::overloaded || o == Outcome::connect_failure || o == Outcome::not_sent;
}

struct Started {};  // the first event of a life; a list of kind saved follows
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::full;
    std::vector<Endpoint> endpoints{};
};
struct RequestArrived {
    RequestId id = 0;               // never used twice
    std::uint32_t class_index = 0;  // into the settings' classes; out of range: handled with most care
    Millis time_left = 0;           // until the client abandons this try
    Millis effort = 0;              // expected work, 0 if not known
    bool client_retry = false;      // known to be the client's retry
    SettingsPtr settings{};         // it is judged by these to its end; none: by those in force
};
struct ResponseStarted {  // a streamed answer has begun; the attempt belongs to the client from here on
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;  // attempts of one request count from 0 in the order of their SendAttempt
    Outcome outcome = Outcome::success;
    Millis duration = 0;
    bool request_ended = false;  // the client has its final answer, by this outcome or before
};
struct ClientDisconnected {
    RequestId id = 0;
};
struct TimerFired {
    TimerToken token = 0;
};
struct ProbeEnded {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::success;
    Millis duration = 0;
};
struct GossipReceived {
    std::uint32_t from = 0;
    std::vector<std::uint8_t> bytes{};
};
// From here on these are in force. Requests under way are judged to their end by those they began with; what
// was learnt about servers stays. Settings that make no sense have no effect.
struct SettingsChanged {
    SettingsPtr settings{};
};
// What is costly to learn anew about a server.
struct EndpointSnapshot {
    EndpointId endpoint = 0;
    Millis ejected_for = 0;    // what is left of its backoff; 0: it is in the pool
    double latency_ratio = 0;  // its answers' time against their aim, of late; 0: not known
};
// What an earlier life had learnt, less the time since. Only about servers that nothing is known of yet.
struct StateRestored {
    std::vector<EndpointSnapshot> endpoints{};
};
// What the other sidecars say of a server, added up, of their last 10 s. What somebody only passed on counts
// for a server and not against it.
struct EndpointEvidence {
    EndpointId endpoint = 0;
    std::uint32_t successes = 0, failures = 0;  // outcomes
    std::uint32_t reporters = 0;                // sidecars it failed, or that have it out of their pools,
    std::uint32_t direct_reporters = 0;         // and those of them that said so themselves
    std::uint32_t withdrawals = 0;  // sidecars that said themselves that on their lists it drains or is gone
    std::uint32_t recoveries = 0;   // sidecars whose trial it has just passed
    std::uint32_t latency_reporters = 0;  // sidecars that told how long its answers take,
    double latency_ratio = 0;             // against their aim, on average
};
// All there is: whoever is not named, nobody speaks of.
struct FleetEvidence {
    std::vector<EndpointEvidence> endpoints{};
};
using Event =
    std::variant<Started, EndpointUpdate, RequestArrived, ResponseStarted, AttemptEnded, ClientDisconnected,
                 TimerFired, ProbeEnded, GossipReceived, SettingsChanged, StateRestored, FleetEvidence>;

// ---- Actions --------------------------------------------------------------------------------------------
// A caller must be able to carry out all of them; the present decisions use no FetchEndpoints.

struct SendAttempt {
    RequestId id = 0;
    EndpointId endpoint = 0;
    Millis give_up_at = 0;  // the caller ends the attempt as overdue at this time
    // Written whole before this or not at all (superseded): later the servers may have forgotten an earlier
    // attempt, and it would run twice.
    Millis write_before = 0;
};
struct CancelAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
// Why a request gets its final answer without a server's.
enum class EndReason {
    deadline_exceeded,       // its time is up
    no_capacity,             // nobody may have it within the time that it may be held
    attempts_exhausted,      // the limit on attempts, or one that may have run and may not be repeated
    retry_budget_exhausted,  // a retry would exceed the budget
    // Not the module's: requests that were sent behind it on its connection are owed their answers.
    pipelined_requests,
    count
};

struct RejectRequest {  // final: trying again is harmless
    RequestId id = 0;
    Millis retry_after = 0;  // 0: no advice
    EndReason reason = EndReason::no_capacity;
};
struct FailRequest {  // final: failed, promises nothing
    RequestId id = 0;
    EndReason reason = EndReason::no_capacity;
};
struct SetTimer {
    Millis at = 0;
    TimerToken token = 0;
};
struct SendProbe {
    EndpointId endpoint = 0;
};
struct CloseIdleConnections {
    EndpointId endpoint = 0;
};
struct SendGossip {
    std::optional<std::uint32_t> to{};  // none: all of them
    std::vector<std::uint8_t> bytes{};
};
// What this sidecar has seen of a server in the last seconds, for the others; it replaces what it said
// before.
struct PublishEvidence {
    EndpointId endpoint = 0;
    double successes = 0, failures = 0;  // outcomes
    double latency_ratio = 0;            // its answers' time against their aim, of late; 0: not known
    bool ejected = false;                // it is out of our pool
    bool recovered = false;              // it has just passed its trial
};
struct SubscribeEndpoints {
    bool active = true;
};
struct FetchEndpoints {};
struct LogMessage {
    std::string text{};
    std::optional<EndpointId> endpoint{};  // whom it is about
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendProbe,
                            CloseIdleConnections, SendGossip, SubscribeEndpoints, FetchEndpoints, LogMessage,
                            PublishEvidence>;

// ---- The balancer ---------------------------------------------------------------------------------------

class Balancer {
public:
    // Throws std::invalid_argument naming the setting that makes no sense.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    // Appends to actions. Events about unknown or finished things have no effect.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    // Requests, servers and timers held at present: what this instance costs in memory.
    struct Usage {
        std::size_t requests = 0, endpoints = 0, timers = 0;
        std::size_t ejected = 0;  // servers out of the pool, on trial ones included
    };
    Usage usage() const;

    // For a later life, in the order of the servers' numbers.
    std::vector<EndpointSnapshot> snapshot() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace ochregrade
