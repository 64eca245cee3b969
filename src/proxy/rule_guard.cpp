#include "proxy/rule_guard.hpp"

#include <numeric>
#include <string>

#include "common/log.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Withheld::count)> kWithheldNames = {
    "client_left",  "answered",         "deadline_passed", "server_not_serving", "key_window_over",
    "may_have_run", "key_out_of_scope", "attempts_used",   "attempt_in_flight"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Violation::count)> kViolationNames = {
    "repeat", "closed_unanswered", "answered_late", "refused_after_run", "time_overstated", "unready_start"};

bool is_in_dedup_scope(const RequestClass& kind, const AttemptFacts& earlier, const EndpointFacts& endpoint) {
    switch (kind.dedup_scope) {
        case DedupScope::all:
            return true;
        case DedupScope::zone:
            return earlier.zone == endpoint.zone;
        case DedupScope::cell:
            return earlier.cell == endpoint.cell;
    }
    return false;
}

bool may_have_run(const AttemptFacts& attempt) { return attempt.in_flight || attempt.may_have_run; }

}  // namespace

std::string_view to_string(Withheld reason) { return kWithheldNames.at(static_cast<std::size_t>(reason)); }
std::string_view to_string(Violation violation) {
    return kViolationNames.at(static_cast<std::size_t>(violation));
}
bool is_violation(Withheld reason) { return reason >= Withheld::may_have_run; }

std::uint64_t RuleGuard::Counts::all_violations() const {
    return std::accumulate(violations.begin(), violations.end(), std::uint64_t{0});
}

std::optional<Withheld> RuleGuard::find_reason(const RequestFacts& request, std::size_t number,
                                               const EndpointFacts& endpoint, Millis now) const {
    if (request.client_disconnected) return Withheld::client_disconnected;
    if (request.answered) return Withheld::answered;
    if (now >= request.deadline) return Withheld::deadline_passed;
    if (!endpoint.serving) return Withheld::server_not_serving;
    if (number >= request.max_attempts) return Withheld::attempts_exhausted;
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        const AttemptFacts& earlier = request.attempts[i];
        if (i == number || !may_have_run(earlier)) continue;
        if (request.kind.idempotency == Idempotency::not_idempotent) return Withheld::may_have_run;
        if (earlier.in_flight && !request.hedging_allowed) return Withheld::attempt_in_flight;
        if (request.kind.idempotency != Idempotency::idempotent_with_key) continue;
        if (now >= earlier.sent_at + request.kind.dedup_window) return Withheld::key_window_over;
        if (!is_in_dedup_scope(request.kind, earlier, endpoint)) return Withheld::key_out_of_scope;
    }
    return {};
}

std::optional<Withheld> RuleGuard::check_send(const RequestFacts& request, std::size_t number,
                                              const EndpointFacts& endpoint, Millis now) {
    const auto reason = find_reason(request, number, endpoint, now);
    if (!reason) return {};
    ++counts_.withheld[static_cast<std::size_t>(*reason)];
    if (is_violation(*reason)) record_violation(Violation::repeat);
    return reason;
}

bool RuleGuard::check_rejection(const RequestFacts& request, Millis now) {
    if (request.kind.idempotency == Idempotency::idempotent) return true;
    const bool deduplicated_everywhere = request.kind.idempotency == Idempotency::idempotent_with_key &&
                                         request.kind.dedup_scope == DedupScope::all;
    for (const AttemptFacts& attempt : request.attempts) {
        if (!may_have_run(attempt)) continue;
        if (deduplicated_everywhere && now < attempt.sent_at + request.kind.dedup_window) continue;
        record_violation(Violation::rejected_after_run);
        return false;
    }
    return true;
}

void RuleGuard::check_final_response(Millis deadline, Millis now) {
    if (now > deadline + kResponseGrace) record_violation(Violation::answered_late);
}

void RuleGuard::check_propagated_deadline(Millis propagated, Millis deadline) {
    if (propagated > deadline + kDeadlineSlack) record_violation(Violation::deadline_overstated);
}

void RuleGuard::check_close(bool unanswered, bool client_disconnected) {
    if (unanswered && !client_disconnected) record_violation(Violation::closed_unanswered);
}

void RuleGuard::check_ready(bool has_endpoints) {
    if (!has_endpoints) record_violation(Violation::unready_start);
}

void RuleGuard::record_violation(Violation violation) {
    ++counts_.violations[static_cast<std::size_t>(violation)];
    log_line("rule violated: " + std::string(to_string(violation)));
}

}  // namespace ochregrade::sidecar
