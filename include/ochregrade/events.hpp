// Events of the decision library: the input of Balancer::handle(), in order.
//
// The host (sidecar or simulator) creates an event for everything that it observes and passes it with the
// time at which it happened. All times are milliseconds. An event about an unknown id or about an attempt
// that has ended has no effect. A request that has ended gets no further attempt or final response, but the
// end of an attempt that is still in flight counts as evidence about the endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "ochregrade/settings.hpp"

namespace ochregrade {

enum class EndpointState { serving, draining, removed };

struct Endpoint {
    EndpointId id = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;       ///< time of the endpoint's last start; 0: long ago
    double capacity_weight = 1;  ///< registered capacity relative to other endpoints; invalid: counts as 1
};

/// incremental: changed entries only. full: the complete endpoint list. cached: the complete list saved by
/// the previous run, possibly stale. failed: a call to discovery failed or the subscription broke; the
/// current list stays in force.
enum class EndpointUpdateKind { incremental, full, cached, failed };

enum class Outcome {
    success,
    server_error,      ///< the endpoint responded with an error; the request may have run
    overloaded,        ///< the endpoint rejected the request unprocessed; it never ran
    timeout,           ///< no response in time; the request may have run or still be running
    connect_failure,   ///< no connection; the request never ran
    connection_reset,  ///< connection lost while in flight; the request may have run
    cancelled,         ///< cancelled by this sidecar; the request may have run
    not_sent           ///< the sidecar did not send the request; it never ran
};

constexpr std::size_t kOutcomeCount = 8;

/// Whether an attempt with this outcome is certain not to have run.
constexpr bool proves_never_ran(Outcome outcome) {
    return outcome == Outcome::overloaded || outcome == Outcome::connect_failure ||
           outcome == Outcome::not_sent;
}

/// The first event of a run; an EndpointUpdate of kind cached follows.
struct Started {};
struct EndpointUpdate {
    EndpointUpdateKind kind = EndpointUpdateKind::full;
    std::vector<Endpoint> endpoints{};
};
struct RequestArrived {
    RequestId id = 0;               ///< never used twice
    std::uint32_t class_index = 0;  ///< index into Settings::classes; out of range: treated as not idempotent
    Millis time_left = 0;           ///< until the client stops waiting for the response
    Millis effort = 0;              ///< expected work; 0: not known
    bool client_retry = false;      ///< marked by the client as its own retry
    /// The settings for this request until it ends; none or without classes: the settings in force.
    SettingsPtr settings{};
};
/// A streamed response has started to go to the client: from now on the request can be neither retried nor
/// completed by the balancer.
struct ResponseStarted {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;  ///< from 0, in the order of the request's SendAttempt actions
    Outcome outcome = Outcome::success;
    Millis duration = 0;
    bool request_ended = false;  ///< the client has its final response, from this or another attempt
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
/// Puts new settings in force. Requests that have already arrived keep the settings under which they arrived;
/// the state of the endpoints is kept. Invalid settings have no effect.
struct SettingsChanged {
    SettingsPtr settings{};
};
/// The part of an endpoint's state that the next run restores. Without the snapshot, the next run would have
/// to measure this state again, at the cost of failed or slow requests.
struct EndpointSnapshot {
    EndpointId endpoint = 0;
    Millis ejected_for = 0;    ///< remaining backoff; 0: not ejected
    double latency_ratio = 0;  ///< recent response time / latency objective; 0: not known
};
/// The snapshots that the previous run saved. The host has subtracted the time since the save from the
/// backoffs. A snapshot applies only to an endpoint that is known and has no outcomes, no attempts in flight
/// and no ejection in this run.
struct StateRestored {
    std::vector<EndpointSnapshot> endpoints{};
};
/// Totals over the reports that the other sidecars published about an endpoint in the last 10 s; each sidecar
/// has at most one report about an endpoint. A report is direct if it came from the sidecar that published
/// it, and relayed if another sidecar forwarded it and may have forged it. Each member says which reports it
/// counts.
struct EndpointEvidence {
    EndpointId endpoint = 0;
    /// Counts of outcomes: successes in all reports, failures only in direct reports.
    std::uint32_t successes = 0, failures = 0;
    /// Sidecars that report failures at the endpoint or have ejected it; all reports.
    std::uint32_t reporters = 0;
    std::uint32_t direct_reporters = 0;  ///< the reporters whose report is direct
    /// Sidecars whose endpoint list has the endpoint draining or removed; direct reports only.
    std::uint32_t withdrawals = 0;
    /// Sidecars whose half-open trial at the endpoint has just succeeded; all reports.
    std::uint32_t recoveries = 0;
    std::uint32_t latency_reporters = 0;  ///< sidecars that report a latency ratio; direct reports only
    double latency_ratio = 0;             ///< mean over the latency reporters; 0: there are none
};
/// The evidence about all endpoints. Replaces the previous event of this type: about an endpoint that is not
/// in the list, no other sidecar reports anything now.
struct FleetEvidence {
    std::vector<EndpointEvidence> endpoints{};
};
using Event =
    std::variant<Started, EndpointUpdate, RequestArrived, ResponseStarted, AttemptEnded, ClientDisconnected,
                 TimerFired, ProbeEnded, GossipReceived, SettingsChanged, StateRestored, FleetEvidence>;

}  // namespace ochregrade
