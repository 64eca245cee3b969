// Events of the decision library: everything that a sidecar learns, handed to Balancer::handle() in order.
//
// Input: what the host (sidecar or simulator) saw, with the time at which it happened. All times are
// milliseconds. Events about unknown or finished things have no effect.
#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "ochregrade/settings.hpp"

namespace ochregrade {

enum class EndpointState { serving, draining, gone };

struct Endpoint {
    EndpointId id = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;       ///< when it last started; 0: long ago
    double capacity_weight = 1;  ///< its size against other endpoints, as registered
};

/// incremental: changed entries only. full: the whole list. cached: the whole list as last known before this
/// start, possibly stale. failed: a call failed or the subscription broke; the present list stays in force.
enum class EndpointUpdateKind { incremental, full, cached, failed };

enum class Outcome {
    success,
    server_error,      ///< the endpoint said so; it may have run
    overloaded,        ///< turned away unseen; never ran
    timeout,           ///< no answer in time; may have run or be running
    connect_failure,   ///< no connection; never ran
    connection_reset,  ///< connection lost in flight; may have run
    cancelled,         ///< withdrawn by us; may have run
    not_sent           ///< not issued at all; never ran
};

constexpr std::size_t kOutcomeCount = 8;

/// Whether an attempt that ended so is certain not to have run.
constexpr bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connect_failure ||
           outcome == Outcome::not_sent;
}

/// The first event of a lifetime; a list of kind cached follows.
struct Started {};
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::full;
    std::vector<Endpoint> endpoints{};
};
struct RequestArrived {
    RequestId id = 0;               ///< never used twice
    std::uint32_t class_index = 0;  ///< into the settings' classes; out of range: handled with most care
    Millis time_left = 0;           ///< until the client abandons this try
    Millis effort = 0;              ///< expected work, 0 if not known
    bool client_retry = false;      ///< known to be the client's retry
    SettingsPtr settings{};         ///< in force for it to its end; none: those of the balancer
};
/// A streamed answer has begun; the attempt belongs to the client from here on.
struct ResponseStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;  ///< attempts of one request count from 0 in the order of their SendAttempt
    Outcome outcome = Outcome::success;
    Millis duration = 0;
    bool request_ended = false;  ///< the client has its final answer, by this outcome or before
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
/// From here on these are in force. Requests under way keep those they began with; what is known of endpoints
/// stays. Invalid settings have no effect.
struct SettingsChanged {
    SettingsPtr settings{};
};
/// What is costly to measure anew about an endpoint.
struct EndpointSnapshot {
    EndpointId endpoint = 0;
    Millis ejected_for = 0;    ///< what is left of its backoff; 0: it is in the pool
    double latency_ratio = 0;  ///< recent answer time / latency objective; 0: not known
};
/// What an earlier lifetime knew, less the time since. Only about endpoints of which nothing is known yet.
struct StateRestored {
    std::vector<EndpointSnapshot> endpoints{};
};
/// What the other sidecars report of an endpoint, added up, of their last 10 s. What was only passed on
/// counts for an endpoint and not against it.
struct EndpointEvidence {
    EndpointId endpoint = 0;
    std::uint32_t successes = 0, failures = 0;  ///< outcomes
    std::uint32_t reporters = 0;                ///< sidecars that it failed, or that have ejected it,
    std::uint32_t direct_reporters = 0;         ///< and those of them that reported so themselves
    std::uint32_t withdrawals = 0;        ///< sidecars that reported themselves that it drains or is gone
    std::uint32_t recoveries = 0;         ///< sidecars whose half-open trial it has just passed
    std::uint32_t latency_reporters = 0;  ///< sidecars that reported its latency ratio,
    double latency_ratio = 0;             ///< and the mean of these
};
/// The whole evidence: nothing is reported of an endpoint that is not in it.
struct FleetEvidence {
    std::vector<EndpointEvidence> endpoints{};
};
using Event =
    std::variant<Started, EndpointUpdate, RequestArrived, ResponseStarted, AttemptEnded, ClientDisconnected,
                 TimerFired, ProbeEnded, GossipReceived, SettingsChanged, StateRestored, FleetEvidence>;

}  // namespace ochregrade
