// The last check before a send, a refusal, an answer and a close: each reason, and which of them are
// violations.
#include "proxy/rule_guard.hpp"

#include <gtest/gtest.h>

namespace ochregrade::sidecar {
namespace {

RequestFacts request_of(Effect effect) {
    RequestFacts request;
    request.kind.effect = effect;
    request.kind.dedup_scope = DedupScope::zone;
    request.kind.dedup_window = 500;
    request.deadline = 1000;
    request.max_attempts = 3;
    request.attempts.push_back({1, 7, 0, 100, false, true});
    request.attempts.push_back({2, 7, 0, 200, true, false});  // the one that is checked
    return request;
}
constexpr std::size_t kSecond = 1;
const ServerFacts kServing{true, 7, 0};

struct SendCase {
    const char* name;
    Effect effect;
    void (*change)(RequestFacts&, ServerFacts&, Millis& now);
    std::optional<Withheld> expected;
};

TEST(RuleGuard, WithholdsASendForEachReasonAndCountsWrongDecisions) {
    using enum Withheld;
    const SendCase cases[] = {
        {"allowed", Effect::repeatable, [](auto&, auto&, auto&) {}, {}},
        {"keyed in scope", Effect::by_key, [](auto&, auto&, auto&) {}, {}},
        {"client left", Effect::repeatable, [](auto& r, auto&, auto&) { r.client_left = true; }, client_left},
        {"answered", Effect::repeatable, [](auto& r, auto&, auto&) { r.answered = true; }, answered},
        {"deadline", Effect::repeatable, [](auto&, auto&, auto& now) { now = 1000; }, deadline_passed},
        {"draining", Effect::repeatable, [](auto&, auto& s, auto&) { s.serving = false; },
         server_not_serving},
        {"window", Effect::by_key, [](auto&, auto&, auto& now) { now = 600; }, key_window_over},
        {"once", Effect::once, [](auto&, auto&, auto&) {}, may_have_run},
        {"once, certain not to have run",
         Effect::once,
         [](auto& r, auto&, auto&) { r.attempts[0].may_have_run = false; },
         {}},
        {"once, in flight", Effect::once,
         [](auto& r, auto&, auto&) { r.attempts[0].in_flight = true, r.attempts[0].may_have_run = false; },
         may_have_run},
        {"scope", Effect::by_key, [](auto&, auto& s, auto&) { s.zone = 8; }, key_out_of_scope},
        {"attempts", Effect::repeatable, [](auto& r, auto&, auto&) { r.max_attempts = 1; }, attempts_used},
        {"not in parallel", Effect::repeatable, [](auto& r, auto&, auto&) { r.attempts[0].in_flight = true; },
         attempt_in_flight},
    };
    for (const SendCase& c : cases) {
        SCOPED_TRACE(c.name);
        RuleGuard guard;
        RequestFacts request = request_of(c.effect);
        ServerFacts server = kServing;
        Millis now = 300;
        c.change(request, server, now);
        EXPECT_EQ(guard.check_send(request, kSecond, server, now), c.expected);
        EXPECT_EQ(guard.counts().all_violations(), c.expected && is_violation(*c.expected) ? 1U : 0U);
    }
}

TEST(RuleGuard, ARefusalPromisesThatNothingRan) {
    RuleGuard guard;
    EXPECT_TRUE(guard.check_refusal(request_of(Effect::repeatable), 300));
    EXPECT_FALSE(guard.check_refusal(request_of(Effect::once), 300));
    EXPECT_FALSE(guard.check_refusal(request_of(Effect::by_key), 300)) << "its key is known in one zone only";
    RequestFacts everywhere = request_of(Effect::by_key);
    everywhere.kind.dedup_scope = DedupScope::all;
    EXPECT_TRUE(guard.check_refusal(everywhere, 300));
    EXPECT_FALSE(guard.check_refusal(everywhere, 700)) << "the servers have forgotten its key";
    EXPECT_EQ(guard.counts().all_violations(), 3U);
}

TEST(RuleGuard, CountsWhatCanNoLongerBeWithheld) {
    RuleGuard guard;
    guard.check_answer(1000, 1000 + RuleGuard::kAnswerGrace);
    guard.check_time_told(400, 400 - RuleGuard::kTimeSlack);
    guard.check_close(true, true);
    guard.check_close(false, false);
    guard.check_ready(true);
    EXPECT_EQ(guard.counts().all_violations(), 0U);
    guard.check_answer(1000, 1001 + RuleGuard::kAnswerGrace);
    guard.check_time_told(400, 399 - RuleGuard::kTimeSlack);
    guard.check_close(true, false);
    guard.check_ready(false);
    EXPECT_EQ(guard.counts().all_violations(), 4U);
}

}  // namespace
}  // namespace ochregrade::sidecar
