// The last check before an action that a rule of the protocol may forbid: sending, repeating, closing,
// starting and answering. It judges by facts that the caller hands it at that moment, not by the state that
// led to the decision. So an event that came between a decision and its execution is caught here, and a wrong
// decision shows as a counted violation in place of a broken rule. No sockets and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

// Why an attempt is not written.
enum class Withheld : std::size_t {
    // Something happened since the decision; nothing is wrong.
    client_disconnected,
    answered,
    deadline_passed,
    server_not_serving,
    key_window_over,
    // The decision itself would have broken a rule: counted as violations too.
    may_have_run,
    key_out_of_scope,
    attempts_exhausted,
    attempt_in_flight,
    count
};

// A rule that was broken, or would have been but for this guard.
enum class Violation : std::size_t {
    repeat,               // an attempt that might have run a request twice (`duplicate`)
    closed_unanswered,    // a request was read and its connection closed here with no answer (`lost`)
    answered_late,        // the final answer came over half a second after the client's deadline (`lost`)
    rejected_after_run,   // a refusal of what may have run
    deadline_overstated,  // a server was told more time than the client has left, by over 0.15 s
    unready_start,        // reported ready without a list of servers
    count
};

std::string_view to_string(Withheld reason);
std::string_view to_string(Violation violation);
bool is_violation(Withheld reason);

// One attempt of a request as far as it bears on the next one.
struct AttemptFacts {
    EndpointId endpoint = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;  // when it was decided on, before any byte went out
    bool in_flight = true;
    bool may_have_run = false;  // known once it has ended; one in flight counts as one that may
};

struct RequestFacts {
    RequestClass kind;
    Millis deadline = 0;  // the client's, from the moment its last byte was read
    std::uint32_t max_attempts = 0;
    bool hedging_allowed = false;
    bool client_disconnected = false;
    bool answered = false;
    std::vector<AttemptFacts> attempts;
};

struct EndpointFacts {
    bool serving = false;  // listed, and neither draining nor gone
    ZoneId zone = 0;
    std::uint32_t cell = 0;
};

class RuleGuard {
public:
    // Limits of the protocol, milliseconds.
    static constexpr Millis kAnswerGrace = 500;
    static constexpr Millis kTimeSlack = 150;

    struct Counts {
        std::array<std::uint64_t, static_cast<std::size_t>(Withheld::count)> withheld{};
        std::array<std::uint64_t, static_cast<std::size_t>(Violation::count)> violations{};
        std::uint64_t all_violations() const;
    };

    // Whether attempt `number` of the request may be written to this server now; nothing if it may.
    std::optional<Withheld> check_send(const RequestFacts& request, std::size_t number,
                                       const EndpointFacts& server, Millis now);
    // Whether the request may be answered by a refusal, which promises that it has not run.
    bool check_rejection(const RequestFacts& request, Millis now);
    void check_answer(Millis deadline, Millis now);
    void check_propagated_deadline(Millis told, Millis left);
    // A client's connection is closed here: `owed` is a request that was read and has no answer.
    void check_close(bool owed, bool client_left);
    // /healthz is about to say that this process is ready.
    void check_ready(bool holds_list);

    const Counts& counts() const { return counts_; }

private:
    std::optional<Withheld> find_reason(const RequestFacts& request, std::size_t number,
                                        const EndpointFacts& server, Millis now) const;
    void violated(Violation violation);

    Counts counts_;
};

}  // namespace ochregrade::sidecar
