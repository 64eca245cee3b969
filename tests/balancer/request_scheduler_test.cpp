#include "balancer/request_scheduler.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

struct SchedulerFixture : ModuleFixture {
    void arrive(RequestId id, Millis time_left = 1000) {
        RequestArrived arrived;
        arrived.id = id;
        arrived.time_left = time_left;
        scheduler.accept(arrived);
    }

    AttemptStatistics statistics;
    SlowStart slow_start{context, statistics};
    EndpointSubset subset{context, table, slow_start};
    FailureGossip gossip{context, subset};
    RetryPolicy retry_policy{context};
    AdmissionController admission{context, table, subset};
    ProbeRaces races{context, subset, statistics};
    OutlierDetection outliers{context, table};
    Timers timers{context};
    RequestTable requests;
    EndpointSelector selector{{context, subset, slow_start, retry_policy, gossip, admission, races}};
    RequestScheduler scheduler{
        {context, table, requests, timers, outliers, retry_policy, admission, races, selector}};
};

TEST(RequestScheduler, ARequestIsSentWithTheClientsDeadline) {
    SchedulerFixture fixture;
    fixture.list(2);
    fixture.arrive(7, 800);
    const std::vector<SendAttempt> sent = fixture.actions_of<SendAttempt>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].id, 7U);
    EXPECT_EQ(sent[0].give_up_at, fixture.context.now + 800);
    EXPECT_EQ(fixture.endpoint(sent[0].endpoint).in_flight, 1);
}

TEST(RequestScheduler, WithoutAnEndpointARequestWaitsAndIsThenRejected) {
    SchedulerFixture fixture;
    fixture.arrive(7);
    EXPECT_EQ(fixture.actions_of<SetTimer>().size(), 2U) << "the deadline and the queue deadline";
    fixture.context.now += 400.0 / 16;  // a sixteenth of the latency objective
    fixture.scheduler.schedule(*fixture.requests.find(7));
    const std::vector<RejectRequest> rejected = fixture.actions_of<RejectRequest>();
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected[0].reason, EndReason::no_capacity);
    EXPECT_EQ(rejected[0].retry_after, kEjectionBackoff);
}

TEST(RequestScheduler, TheLastInTheQueueIsSentFirst) {
    SchedulerFixture fixture;
    fixture.arrive(7);
    fixture.arrive(8);
    fixture.list(2);
    fixture.scheduler.schedule_queued();
    const std::vector<SendAttempt> sent = fixture.actions_of<SendAttempt>();
    ASSERT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent[0].id, 8U);
    EXPECT_EQ(sent[1].id, 7U);
}

TEST(RequestScheduler, CompletionCancelsAttemptsInFlightAndRespondsOnce) {
    SchedulerFixture fixture;
    fixture.list(2);
    fixture.arrive(7);
    Request& request = *fixture.requests.find(7);
    fixture.scheduler.complete(request, EndReason::deadline_exceeded);
    fixture.scheduler.complete(request, EndReason::deadline_exceeded);
    EXPECT_EQ(fixture.actions_of<CancelAttempt>().size(), 1U);
    EXPECT_EQ(fixture.actions_of<RejectRequest>().size(), 1U);
}

TEST(RequestScheduler, AnUnknownClassIsHandledAsNotIdempotent) {
    SchedulerFixture fixture;
    RequestArrived arrived;
    arrived.id = 7;
    arrived.class_index = 99;
    fixture.scheduler.accept(arrived);
    EXPECT_EQ(fixture.requests.find(7)->request_class.idempotency, Idempotency::not_idempotent);
}

}  // namespace
}  // namespace ochregrade::test
