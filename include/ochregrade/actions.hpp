// Actions of the decision library: what Balancer::handle() asks its host to carry out, in order, at the time
// of the event. A host must be able to carry out all of them; the present decisions use no FetchEndpoints.
//
// All times are milliseconds on the clock of the events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ochregrade/settings.hpp"

namespace ochregrade {

struct SendAttempt {
    RequestId id = 0;
    EndpointId endpoint = 0;
    Millis give_up_at = 0;  ///< the host ends the attempt as timed out at this time
    /// Written whole before this or not at all (not_sent): later the endpoints may have forgotten the key of
    /// an earlier attempt, and the request would run twice.
    Millis write_deadline = 0;
};
struct CancelAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
/// Why a request gets its final answer without an endpoint's.
enum class EndReason {
    deadline_exceeded,       ///< its deadline has passed
    no_capacity,             ///< no endpoint may have it within the time that it may be held
    attempts_exhausted,      ///< the limit on attempts, or one that may have run and may not be repeated
    retry_budget_exhausted,  ///< a retry would exceed the budget
    /// Not the library's: requests that were sent behind it on its connection are owed their answers.
    pipelined_requests,
    count
};

/// Final answer: a retry by the client is harmless.
struct RejectRequest {
    RequestId id = 0;
    Millis retry_after = 0;  ///< 0: no advice
    EndReason reason = EndReason::no_capacity;
};
/// Final answer: failed, and it may have run.
struct FailRequest {
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
    std::optional<std::uint32_t> to{};  ///< index of a sidecar; none: all of them
    std::vector<std::uint8_t> bytes{};
};
/// What this sidecar has seen of an endpoint in the last seconds, for the others; it replaces its report
/// before.
struct PublishEvidence {
    EndpointId endpoint = 0;
    double successes = 0, failures = 0;  ///< outcomes
    double latency_ratio = 0;            ///< recent answer time / latency objective; 0: not known
    bool ejected = false;                ///< it is out of our pool
    bool recovered = false;              ///< it has just passed its half-open trial
};
struct SubscribeEndpoints {
    bool active = true;
};
struct FetchEndpoints {};
struct LogMessage {
    std::string text{};
    std::optional<EndpointId> endpoint{};  ///< the endpoint that it is about
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendProbe,
                            CloseIdleConnections, SendGossip, SubscribeEndpoints, FetchEndpoints, LogMessage,
                            PublishEvidence>;

}  // namespace ochregrade
