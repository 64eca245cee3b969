// The rule guard's checks of sends, rejections, final responses and closes: each reason, and which reasons
// are violations.
#include "proxy/rule_guard.hpp"

#include <gtest/gtest.h>

namespace ochregrade::sidecar {
namespace {

RequestFacts request_of(Idempotency effect) {
    RequestFacts request;
    request.kind.idempotency = effect;
    request.kind.dedup_scope = DedupScope::zone;
    request.kind.dedup_window = 500;
    request.deadline = 1000;
    request.max_attempts = 3;
    request.attempts.push_back({1, 7, 0, 100, false, true});
    request.attempts.push_back({2, 7, 0, 200, true, false});  // kSecondAttempt, the attempt that is checked
    return request;
}
constexpr std::size_t kSecondAttempt = 1;
const EndpointFacts kServing{true, 7, 0};

struct SendCase {
    const char* name;
    Idempotency effect;
    void (*change)(RequestFacts&, EndpointFacts&, Millis& now);
    std::optional<Withheld> expected;
};

TEST(RuleGuard, WithholdsSendForEachReasonAndCountsViolations) {
    using enum Withheld;
    const SendCase cases[] = {
        {"allowed", Idempotency::idempotent, [](auto&, auto&, auto&) {}, {}},
        {"keyed in scope", Idempotency::idempotent_with_key, [](auto&, auto&, auto&) {}, {}},
        {"client disconnected", Idempotency::idempotent,
         [](auto& r, auto&, auto&) { r.client_disconnected = true; }, client_disconnected},
        {"answered", Idempotency::idempotent, [](auto& r, auto&, auto&) { r.answered = true; }, answered},
        {"deadline", Idempotency::idempotent, [](auto&, auto&, auto& now) { now = 1000; }, deadline_passed},
        {"draining", Idempotency::idempotent, [](auto&, auto& s, auto&) { s.serving = false; },
         server_not_serving},
        {"window", Idempotency::idempotent_with_key, [](auto&, auto&, auto& now) { now = 600; },
         key_window_over},
        {"once", Idempotency::not_idempotent, [](auto&, auto&, auto&) {}, may_have_run},
        {"once, certain not to have run",
         Idempotency::not_idempotent,
         [](auto& r, auto&, auto&) { r.attempts[0].may_have_run = false; },
         {}},
        {"once, in flight", Idempotency::not_idempotent,
         [](auto& r, auto&, auto&) { r.attempts[0].in_flight = true, r.attempts[0].may_have_run = false; },
         may_have_run},
        {"scope", Idempotency::idempotent_with_key, [](auto&, auto& s, auto&) { s.zone = 8; },
         key_out_of_scope},
        {"attempts", Idempotency::idempotent, [](auto& r, auto&, auto&) { r.max_attempts = 1; },
         attempts_exhausted},
        {"not in parallel", Idempotency::idempotent,
         [](auto& r, auto&, auto&) { r.attempts[0].in_flight = true; }, attempt_in_flight},
    };
    for (const SendCase& c : cases) {
        SCOPED_TRACE(c.name);
        RuleGuard guard;
        RequestFacts request = request_of(c.effect);
        EndpointFacts server = kServing;
        Millis now = 300;
        c.change(request, server, now);
        EXPECT_EQ(guard.check_send(request, kSecondAttempt, server, now), c.expected);
        EXPECT_EQ(guard.counts().all_violations(), c.expected && is_violation(*c.expected) ? 1U : 0U);
    }
}

TEST(RuleGuard, RejectionRequiresThatNothingRan) {
    RuleGuard guard;
    EXPECT_TRUE(guard.check_rejection(request_of(Idempotency::idempotent), 300));
    EXPECT_FALSE(guard.check_rejection(request_of(Idempotency::not_idempotent), 300));
    EXPECT_FALSE(guard.check_rejection(request_of(Idempotency::idempotent_with_key), 300))
        << "its key is known in one zone only";
    RequestFacts everywhere = request_of(Idempotency::idempotent_with_key);
    everywhere.kind.dedup_scope = DedupScope::all;
    EXPECT_TRUE(guard.check_rejection(everywhere, 300));
    EXPECT_FALSE(guard.check_rejection(everywhere, 700)) << "its deduplication window has ended";
    EXPECT_EQ(guard.counts().all_violations(), 3U);
}

TEST(RuleGuard, CountsViolationsThatCannotBeWithheld) {
    RuleGuard guard;
    guard.check_final_response(1000, 1000 + RuleGuard::kResponseGrace);
    guard.check_propagated_deadline(400, 400 - RuleGuard::kDeadlineSlack);
    guard.check_close(true, true);
    guard.check_close(false, false);
    guard.check_ready(true);
    EXPECT_EQ(guard.counts().all_violations(), 0U);
    guard.check_final_response(1000, 1001 + RuleGuard::kResponseGrace);
    guard.check_propagated_deadline(400, 399 - RuleGuard::kDeadlineSlack);
    guard.check_close(true, false);
    guard.check_ready(false);
    EXPECT_EQ(guard.counts().all_violations(), 4U);
}

}  // namespace
}  // namespace ochregrade::sidecar
