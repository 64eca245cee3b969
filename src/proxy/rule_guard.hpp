// The last check before an action that a rule of the protocol may forbid: a send, a retry, a close, a final
// response, or reporting ready. The guard decides by facts that the caller passes at that moment, not by the
// state that led to the decision. Therefore the guard catches an event between a decision and its execution,
// and a wrong decision shows as a counted violation instead of a broken rule (docs/RULES.md). Uses no sockets
// and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// Why an attempt is withheld: not written to its endpoint.
enum class Withheld : std::size_t {
    // An event after the decision forbids the send; the decision itself broke no rule.
    client_disconnected,
    answered,
    deadline_passed,
    server_not_serving,
    key_window_over,
    // The decision itself would have broken a rule; it is also counted as a violation.
    may_have_run,
    key_out_of_scope,
    attempts_exhausted,
    attempt_in_flight,
    count
};

/// A rule that was broken, or would have been without this guard. In parentheses, if given: the platform's
/// rule that the violation breaks.
enum class Violation : std::size_t {
    // An attempt that might have run a request twice (`duplicate`), that exceeds the request's maximum number
    // of attempts, or that is a hedge although hedging is not allowed.
    repeat,
    // The sidecar read a request and closed the client's connection without a response, although the client
    // had not disconnected (`lost`).
    closed_unanswered,
    answered_late,        // the final response came more than kResponseGrace after the deadline (`lost`)
    rejected_after_run,   // a rejection of a request that may have run
    deadline_overstated,  // an attempt's deadline exceeds its request's by more than kDeadlineSlack
    unready_start,        // reported ready without an endpoint list
    count
};

/// The labels in /metrics and the trace.
std::string_view to_string(Withheld reason);
std::string_view to_string(Violation violation);
/// Whether the decision to send would have broken a rule.
bool is_violation(Withheld reason);

/// The facts about one attempt that matter for further attempts of its request.
struct AttemptFacts {
    EndpointId endpoint = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;  // time of the decision, before any byte was written; Clock milliseconds
    bool in_flight = true;
    bool may_have_run = false;  // valid once the attempt has ended; an attempt in flight may always have run
};

struct RequestFacts {
    RequestClass kind;
    // The client's deadline, less the sidecar's margin for the response and bounded as in
    // ClientSession::time_left(). Fixed when the last byte was read; Clock milliseconds.
    Millis deadline = 0;
    std::uint32_t max_attempts = 0;
    bool hedging_allowed = false;
    bool client_disconnected = false;
    bool answered = false;
    std::vector<AttemptFacts> attempts;
};

struct EndpointFacts {
    bool serving = false;  // listed, and neither draining nor removed
    ZoneId zone = 0;
    std::uint32_t cell = 0;
};

class RuleGuard {
public:
    /// Limits of the protocol, milliseconds.
    static constexpr Millis kResponseGrace = 500;
    static constexpr Millis kDeadlineSlack = 150;

    struct Counts {
        std::array<std::uint64_t, static_cast<std::size_t>(Withheld::count)> withheld{};
        std::array<std::uint64_t, static_cast<std::size_t>(Violation::count)> violations{};
        std::uint64_t all_violations() const;
    };

    /// The reason why attempt `number` (from 0) of the request must not be written to this endpoint now; none
    /// if the attempt may be written. Each returned reason is counted.
    std::optional<Withheld> check_send(const RequestFacts& request, std::size_t number,
                                       const EndpointFacts& endpoint, Millis now);
    /// Whether the request may be rejected. A rejection promises the client that a retry is harmless. If a
    /// retry could run the request twice, returns false and counts a violation.
    bool check_rejection(const RequestFacts& request, Millis now);
    /// Called before a final response is written. `deadline`: the request's; both times are Clock
    /// milliseconds.
    void check_final_response(Millis deadline, Millis now);
    /// Called before an attempt is sent with the deadline `propagated`. `deadline`: the request's
    /// (RequestFacts::deadline); both times are Clock milliseconds.
    void check_propagated_deadline(Millis propagated, Millis deadline);
    /// Called before a client's connection is closed. `unanswered`: a request was read and has no final
    /// response yet.
    void check_close(bool unanswered, bool client_disconnected);
    /// Called before /healthz reports ready.
    void check_ready(bool has_endpoints);

    const Counts& counts() const { return counts_; }

private:
    std::optional<Withheld> find_reason(const RequestFacts& request, std::size_t number,
                                        const EndpointFacts& endpoint, Millis now) const;
    void record_violation(Violation violation);

    Counts counts_;
};

}  // namespace ochregrade::sidecar
