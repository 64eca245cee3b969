// Actions of the decision library: Balancer::handle() appends them, and its host (sidecar or simulator)
// carries them out in order at the time of the event. A host must support every action, although the balancer
// currently never emits FetchEndpoints.
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
    /// The host writes the complete request before this time, or does not write it and reports not_sent. The
    /// time is the request's deadline, or earlier for a repeat with an idempotency key: later, the endpoints
    /// may have dropped the key of the first attempt, and the request would run twice.
    Millis write_deadline = 0;
};
struct CancelAttempt {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
/// Why a request gets a final response that does not come from an endpoint.
enum class EndReason {
    deadline_exceeded,       ///< the deadline of the request has passed
    no_capacity,             ///< no endpoint could take the request before its queue deadline
    attempts_exhausted,      ///< attempt limit reached, or the request is not idempotent and may have run
    retry_budget_exhausted,  ///< a retry would exceed the retry budget
    /// Set by the sidecar, never by this library: requests pipelined behind this one on the client's
    /// connection wait for their responses.
    pipelined_requests,
    count
};

/// Sends the final response "rejected", which promises the client that a retry is harmless.
struct RejectRequest {
    RequestId id = 0;
    Millis retry_after = 0;  ///< time from now after which the client should retry; 0: no advice
    EndReason reason = EndReason::no_capacity;
};
/// Sends the final response "failed": the request may have run.
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
    std::optional<std::uint32_t> to{};  ///< index of the receiving sidecar; none: all sidecars
    std::vector<std::uint8_t> bytes{};
};
/// Publishes this sidecar's recent outcomes at an endpoint to the other sidecars. The report replaces this
/// sidecar's previous report about the endpoint.
struct PublishEvidence {
    EndpointId endpoint = 0;
    double successes = 0, failures = 0;  ///< counts of outcomes; decay with time constant 5 s
    double latency_ratio = 0;            ///< recent response time / latency objective; 0: not known
    bool ejected = false;                ///< the endpoint is ejected or half-open at this sidecar
    bool recovered = false;              ///< the endpoint has just passed this sidecar's half-open trial
};
struct SubscribeEndpoints {
    bool active = true;
};
struct FetchEndpoints {};
struct LogMessage {
    std::string text{};
    std::optional<EndpointId> endpoint{};  ///< the endpoint that the message concerns
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendProbe,
                            CloseIdleConnections, SendGossip, SubscribeEndpoints, FetchEndpoints, LogMessage,
                            PublishEvidence>;

}  // namespace ochregrade
