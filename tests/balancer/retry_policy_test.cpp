#include "balancer/retry_policy.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

struct RetryFixture : ModuleFixture {
    explicit RetryFixture(Idempotency idempotency, DedupScope scope = DedupScope::all)
        : ModuleFixture(make_settings({make_class(idempotency, scope, /*window=*/3000)})) {
        list(4);
        request = make_request(*this);
    }
    void add_attempt(EndpointId id, bool may_have_run = true) {
        const Endpoint& info = endpoint(id).info;
        request.attempts.push_back(
            {id, info.zone, info.cell, context.now, /*in_flight=*/false, may_have_run, false});
    }

    Request request;
    RetryPolicy policy{context};
};

TEST(RetryPolicy, AFirstAttemptMayGoToAnyServingEndpoint) {
    RetryFixture fixture(Idempotency::not_idempotent);
    EXPECT_TRUE(fixture.policy.may_send(fixture.request, fixture.endpoint(1)));
    fixture.endpoint(1).info.state = EndpointState::draining;
    EXPECT_FALSE(fixture.policy.may_send(fixture.request, fixture.endpoint(1)));
}

TEST(RetryPolicy, ARequestThatMayHaveRunIsRepeatedOnlyIfIdempotent) {
    RetryFixture once(Idempotency::not_idempotent);
    once.add_attempt(1);
    EXPECT_FALSE(once.policy.may_send(once.request, once.endpoint(2)));
    EXPECT_FALSE(once.policy.may_reject(once.request));
    RetryFixture repeatable(Idempotency::idempotent);
    repeatable.add_attempt(1);
    EXPECT_TRUE(repeatable.policy.may_send(repeatable.request, repeatable.endpoint(2)));
    EXPECT_TRUE(repeatable.policy.may_reject(repeatable.request));
}

TEST(RetryPolicy, ARequestThatNeverRanMayBeRepeatedAndRejected) {
    RetryFixture fixture(Idempotency::not_idempotent);
    fixture.add_attempt(1, /*may_have_run=*/false);
    EXPECT_TRUE(fixture.policy.may_send(fixture.request, fixture.endpoint(2)));
    EXPECT_TRUE(fixture.policy.may_reject(fixture.request));
}

TEST(RetryPolicy, ARepeatWithAKeyEndsBeforeTheDedupWindow) {
    RetryFixture fixture(Idempotency::idempotent_with_key);
    fixture.add_attempt(1);
    const Millis deadline = RetryPolicy::repeat_deadline(fixture.request);
    EXPECT_EQ(deadline, fixture.context.now + 3000 - 150)
        << "the process may be stalled for 150 ms before the write";
    fixture.context.now = deadline - 1;
    EXPECT_TRUE(fixture.policy.may_send(fixture.request, fixture.endpoint(2)));
    fixture.context.now = deadline;
    EXPECT_FALSE(fixture.policy.may_send(fixture.request, fixture.endpoint(2)));
    EXPECT_FALSE(fixture.policy.may_reject(fixture.request));
}

TEST(RetryPolicy, ARepeatWithAKeyStaysInItsDedupScope) {
    // make_endpoints() sets an endpoint's zone to its id modulo 3.
    RetryFixture fixture(Idempotency::idempotent_with_key, DedupScope::zone);
    fixture.add_attempt(1);
    EXPECT_TRUE(fixture.policy.may_send(fixture.request, fixture.endpoint(4)));
    EXPECT_FALSE(fixture.policy.may_send(fixture.request, fixture.endpoint(2)));
}

TEST(RetryPolicy, TheBudgetAllowsABurstAndThenAFifth) {
    const ModuleFixture fixture;
    RetryPolicy policy(fixture.context);
    int retries = 0;
    for (; !policy.is_budget_exhausted(); ++retries) policy.record_retry();
    EXPECT_EQ(retries, 10);
    for (int i = 0; i < 6; ++i) policy.record_request();  // five add up to 1; the sixth makes up for rounding
    EXPECT_FALSE(policy.is_budget_exhausted());
    policy.record_retry();
    EXPECT_TRUE(policy.is_budget_exhausted());
}

}  // namespace
}  // namespace ochregrade::test
