// Tests of the complete balancer. Each test covers one behaviour and fails if the balancer does not show it.
#include <cmath>
#include <stdexcept>

#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// A balancer with `count` endpoints that are not in slow start, and one request class.
BalancerFixture pool(EndpointId count, std::uint64_t seed = 1,
                     Idempotency idempotency = Idempotency::not_idempotent) {
    BalancerFixture fixture(make_settings({make_class(idempotency)}), seed);
    fixture.list(EndpointUpdateKind::full, make_endpoints(count));
    return fixture;
}

// Sends requests one after another. Attempts at endpoints in `failing` end with `outcome`, all others with
// success, each after `duration`. Returns the number of attempts at endpoints in `failing`.
int run_requests(BalancerFixture& fixture, int requests, const std::set<EndpointId>& failing, Outcome outcome,
                 Millis duration = 10) {
    int attempts = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = fixture.request();
        if (!fixture.in_flight(id)) continue;
        const bool is_failing = failing.count(fixture.endpoint_of(id)) > 0;
        attempts += is_failing;
        fixture.end(id, is_failing ? outcome : Outcome::success, duration);
    }
    return attempts;
}

TEST(OutlierDetection, AFailingEndpointIsEjectedForTheBackoff) {
    BalancerFixture fixture = pool(4);
    EXPECT_GT(run_requests(fixture, 120, {1}, Outcome::server_error), 0);
    EXPECT_EQ(fixture.ejection_count(), 1);
    EXPECT_EQ(run_requests(fixture, 120, {1}, Outcome::server_error), 0)
        << "an ejected endpoint gets no request within its backoff";
}

TEST(OutlierDetection, ThreeFailuresInTwentyEjectAndTwoDoNot) {
    for (const int failures : {2, 3}) {
        BalancerFixture fixture = pool(4);
        run_requests(fixture, 400, {}, Outcome::success);  // full windows of successes
        int left = failures;
        while (left > 0) {
            const RequestId id = fixture.request();
            const bool fail = fixture.endpoint_of(id) == 1;
            fixture.end(id, fail ? Outcome::server_error : Outcome::success, 10);
            left -= fail;
        }
        EXPECT_EQ(fixture.ejection_count(), failures == 3 ? 1 : 0) << failures;
    }
}

TEST(OutlierDetection, OldOutcomesLeaveTheWindow) {
    BalancerFixture fixture = pool(4);
    int failed = 0;
    for (int i = 0, on_one = 0; i < 3000; ++i) {
        const RequestId id = fixture.request();
        const bool fail = fixture.endpoint_of(id) == 1 && on_one++ % 15 == 0;  // never three within twenty
        failed += fail;
        fixture.end(id, fail ? Outcome::server_error : Outcome::success, 10);
    }
    EXPECT_GT(failed, 20);
    EXPECT_EQ(fixture.ejection_count(), 0);
}

TEST(OutlierDetection, ResponsesPastTheLatencyObjectiveCountAsFailures) {
    BalancerFixture fixture = pool(8);
    for (int round = 0; round < 20 && fixture.ejection_count() == 0; ++round) {
        const auto ids = fixture.burst(32, 5000);  // several attempts at each endpoint at once
        fixture.now += 10;
        for (const RequestId id : ids)
            if (fixture.in_flight(id) && fixture.endpoint_of(id) != 1) fixture.end(id, Outcome::success, 0);
        fixture.now += 690;
        for (const RequestId id : ids)
            if (fixture.in_flight(id)) fixture.end(id, Outcome::success, 0);
    }
    EXPECT_EQ(fixture.ejection_count(), 1);
    EXPECT_NE(fixture.endpoint_of(fixture.request()), 1U);
}

TEST(OutlierDetection, FailuresOfAllEndpointsEjectNone) {
    BalancerFixture fixture = pool(6);
    for (int i = 0; i < 600; ++i) {
        const RequestId id = fixture.request();
        if (fixture.in_flight(id)) fixture.end(id, i % 3 ? Outcome::success : Outcome::server_error, 10);
    }
    EXPECT_EQ(fixture.ejection_count(), 0) << "no endpoint is an outlier if all fail alike";
}

TEST(OutlierDetection, ThePanicThresholdKeepsHalfOfThePool) {
    BalancerFixture fixture = pool(6);
    for (EndpointId failing = 1; failing <= 5; ++failing) {  // one at a time, so that each is an outlier
        run_requests(fixture, 60, {failing}, Outcome::server_error);
        EXPECT_EQ(fixture.ejection_count(), std::min<int>(3, static_cast<int>(failing)));
    }
}

TEST(OutlierDetection, EjectionDoesNotWaitForAFullWindow) {
    BalancerFixture fixture = pool(4);
    const int attempts = run_requests(fixture, 200, {1}, Outcome::connection_reset);
    EXPECT_EQ(fixture.ejection_count(), 1);
    EXPECT_EQ(attempts, 3) << "three failures put the success share of a window of 20 below 0.9";
}

// ---- Half-open trial ------------------------------------------------------------------------------------

// Ejects endpoint 1 and advances the clock past its backoff; returns the request that is its half-open trial.
RequestId start_trial(BalancerFixture& fixture) {
    run_requests(fixture, 120, {1}, Outcome::server_error);
    EXPECT_EQ(fixture.ejection_count(), 1);
    fixture.advance(10001);
    RequestId id = 0;
    for (int i = 0; i < 200; ++i) {
        id = fixture.request();
        if (fixture.endpoint_of(id) == 1) return id;
        fixture.end(id, Outcome::success, 10);
    }
    ADD_FAILURE() << "endpoint 1 got no half-open trial";
    return id;
}

TEST(HalfOpenTrial, OneRequestIsSentAndItsSuccessRestoresTheEndpoint) {
    BalancerFixture fixture = pool(4);
    const RequestId id = start_trial(fixture);
    for (int i = 0; i < 50; ++i) {
        const RequestId other = fixture.request();
        EXPECT_NE(fixture.endpoint_of(other), 1U) << "only one request is the half-open trial";
        fixture.end(other, Outcome::success, 1);
    }
    fixture.end(id, Outcome::success, 1);
    EXPECT_EQ(fixture.logs.back(), "restored after a successful half-open trial");
    EXPECT_GT(run_requests(fixture, 100, {1}, Outcome::success), 0);
}

TEST(HalfOpenTrial, SuccessStartsAnEmptyWindow) {
    BalancerFixture fixture = pool(4);
    fixture.end(start_trial(fixture), Outcome::success, 1);
    int left = 2;
    while (left > 0) {
        const RequestId id = fixture.request();
        const bool fail = fixture.endpoint_of(id) == 1;
        fixture.end(id, fail ? Outcome::server_error : Outcome::success, 10);
        left -= fail;
    }
    EXPECT_EQ(fixture.ejection_count(), 1) << "two failures in the new window do not eject";
}

TEST(HalfOpenTrial, FailureStartsAnotherBackoff) {
    BalancerFixture fixture = pool(4);
    fixture.end(start_trial(fixture), Outcome::server_error, 1);
    EXPECT_EQ(run_requests(fixture, 100, {1}, Outcome::server_error), 0);
    fixture.advance(10001);
    EXPECT_GT(run_requests(fixture, 100, {1}, Outcome::server_error), 0);
}

TEST(HalfOpenTrial, ACancelledTrialIsRepeated) {
    BalancerFixture fixture = pool(4);
    const RequestId id = start_trial(fixture);
    fixture.requests.at(id).client_disconnected = true;
    fixture.handle_event(ClientDisconnected{id});
    fixture.end(id, Outcome::cancelled, 1);
    EXPECT_GT(run_requests(fixture, 200, {1}, Outcome::success), 0) << "the trial is still due";
}

// ---- Endpoint selection ----------------------------------------------------------------------------------

TEST(EndpointSelection, OfTwoTheOneWithFewerInFlightIsSelected) {
    BalancerFixture fixture = pool(2);
    const RequestId first = fixture.request();
    for (int i = 0; i < 20; ++i) {
        const RequestId id = fixture.request();
        EXPECT_NE(fixture.endpoint_of(id), fixture.endpoint_of(first));
        fixture.end(id, Outcome::success, 1);
    }
}

TEST(EndpointSelection, TheChoiceIsBetweenTwoRandomEndpoints) {
    BalancerFixture fixture = pool(10);
    std::vector<RequestId> busy;
    busy.reserve(200);
    for (int i = 0; i < 200; ++i) busy.push_back(fixture.request(0, 100000));
    std::map<EndpointId, int> load;
    for (const RequestId id : busy) ++load[fixture.endpoint_of(id)];
    EXPECT_EQ(load.size(), 10U);
    int most = 0, least = 1000;
    for (const auto& [server, n] : load) most = std::max(most, n), least = std::min(least, n);
    EXPECT_GT(most - least, 1) << "selecting the least loaded of all endpoints would give a smaller spread";
    EXPECT_LT(most - least, 8) << "selecting one random endpoint would give a larger spread";
}

TEST(EndpointSelection, ARetryGoesToAnEndpointNotYetTried) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        BalancerFixture fixture = pool(3, seed, Idempotency::idempotent);
        const RequestId id = fixture.request();
        const EndpointId first = fixture.endpoint_of(id);
        fixture.end(id, Outcome::server_error, 10);
        ASSERT_EQ(fixture.attempt_count(id), 2U);
        EXPECT_NE(fixture.endpoint_of(id), first);
    }
}

// ---- Slow start -----------------------------------------------------------------------------------------

TEST(SlowStart, ANewEndpointGetsAPartialShareAndLaterTheFullOne) {
    BalancerFixture fixture = pool(4);
    run_requests(fixture, 1000, {}, Outcome::success);
    fixture.list(EndpointUpdateKind::incremental, {{9, 0, 0, EndpointState::serving, fixture.now}});
    std::map<EndpointId, int> load;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = fixture.request();
        ++load[fixture.endpoint_of(id)];
        fixture.end(id, Outcome::success, 10);
    }
    EXPECT_GT(load[9], 0);
    EXPECT_LT(load[9], load[1] * 0.65) << "slow-start share about a third after 4 s, plus a margin";
    fixture.advance(21000);
    load.clear();
    for (int i = 0; i < 400; ++i) {
        const RequestId id = fixture.request();
        ++load[fixture.endpoint_of(id)];
        fixture.end(id, Outcome::success, 10);
    }
    EXPECT_GT(load[9], 50);
}

// ---- Retry budget, admission, list ----------------------------------------------------------------------

TEST(RetryBudget, RetriesToAFailingPoolStayWithinTheBudget) {
    BalancerFixture fixture = pool(6, 1, Idempotency::idempotent);
    std::size_t attempts = 0;
    const int requests = 500;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = fixture.request();
        while (fixture.in_flight(id)) fixture.end(id, Outcome::server_error, 2);
        attempts += fixture.attempt_count(id);
    }
    EXPECT_GT(attempts, requests * 1.1);
    EXPECT_LT(attempts, requests * 1.3);
}

TEST(AdmissionControl, SlowResponsesBoundTheRequestsInFlight) {
    BalancerFixture fixture = pool(4);
    for (int i = 0; i < 60; ++i) fixture.complete_all(fixture.burst(40, 5000), 600);  // 1.5 objectives
    const auto ids = fixture.burst(200, 5000);
    EXPECT_LT(fixture.count_in_flight(ids), 100);
    EXPECT_GE(fixture.count_in_flight(ids), 1) << "admission never rejects everything";
}

// retry_after is about the mean response time under overload, and 10 s if no endpoint is in service.
TEST(AdmissionControl, ARejectionHasARetryAfterTime) {
    BalancerFixture crowd = pool(4);
    for (int i = 0; i < 60; ++i) crowd.complete_all(crowd.burst(40, 5000), 600);
    crowd.retry_advice.clear();
    crowd.burst(200, 5000);
    crowd.advance(100);
    EXPECT_GE(crowd.retry_advice.size(), 100U);
    for (const Millis advice : crowd.retry_advice) {
        EXPECT_GT(advice, 100);
        EXPECT_LE(advice, 600);
    }
    BalancerFixture empty = pool(1);
    empty.list(EndpointUpdateKind::incremental, {{1, 0, 0, EndpointState::draining, 0}});
    empty.request();
    empty.advance(100);
    EXPECT_EQ(empty.retry_advice, std::vector<Millis>{10000});
}

TEST(AdmissionControl, FastResponsesBoundNothing) {
    BalancerFixture fixture = pool(4);
    for (int i = 0; i < 60; ++i) fixture.complete_all(fixture.burst(40, 5000), 20);
    EXPECT_EQ(fixture.count_in_flight(fixture.burst(200, 5000)), 200);
}

TEST(EndpointDiscovery, PolledDiscoveryIsSubscribedToAtTheStart) {
    for (const bool polled : {false, true}) {
        Settings s = make_settings();
        s.polled_discovery = polled;
        BalancerFixture fixture(s);
        fixture.handle_event(Started{});
        EXPECT_EQ(fixture.count<SubscribeEndpoints>(), polled ? 1 : 0);
    }
}

TEST(EndpointDiscovery, FailedCallsAreRepeatedWithBackoffAndJitter) {
    std::set<Millis> delays;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Settings s = make_settings();
        s.polled_discovery = true;
        BalancerFixture fixture(s, seed);
        fixture.handle_event(Started{});
        Millis last_delay = 0, total = 0;
        for (int i = 0; i < 3; ++i) {
            fixture.list(EndpointUpdateKind::failed, {});
            ASSERT_EQ(fixture.timers.size(), 1U);
            last_delay = fixture.timers.begin()->first - fixture.now;
            if (i == 0) delays.insert(last_delay);
            total += last_delay;
            fixture.now += last_delay;
            const TimerToken token = fixture.timers.begin()->second;
            fixture.timers.clear();
            fixture.handle_event(TimerFired{token});
            EXPECT_EQ(fixture.count<SubscribeEndpoints>(), 1);
        }
        EXPECT_GE(total, 2500);
        EXPECT_LE(last_delay, 3000);
    }
    EXPECT_EQ(delays.size(), 5U) << "different seeds give different delays";
}

TEST(EndpointDiscovery, AFailedCallKeepsTheCurrentList) {
    BalancerFixture fixture = pool(2);
    fixture.list(EndpointUpdateKind::failed, {});
    EXPECT_TRUE(fixture.in_flight(fixture.request()));
}

TEST(EndpointDiscovery, QueuedRequestsAreSentWhenAnEndpointAppears) {
    BalancerFixture fixture(make_settings());
    fixture.list(EndpointUpdateKind::cached, {});
    const RequestId id = fixture.request();
    EXPECT_FALSE(fixture.in_flight(id));
    fixture.now += 5;
    fixture.list(EndpointUpdateKind::full, make_endpoints(2));
    EXPECT_TRUE(fixture.in_flight(id));
}

// ---- Bad input ------------------------------------------------------------------------------------------

TEST(SettingsValidation, TheInvalidFieldIsNamed) {
    const auto validation_error = [](auto change) -> std::string {
        Settings s = make_settings();
        change(s);
        try {
            Balancer b(s, 1);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "accepted";
    };
    const auto expect_named = [&](auto change, const std::string& name) {
        EXPECT_NE(validation_error(change).find(name), std::string::npos) << validation_error(change);
    };
    expect_named([](Settings& s) { s.classes.clear(); }, "classes");
    expect_named([](Settings& s) { s.classes[0].latency_objective = 0; }, "classes[0].latency_objective");
    expect_named([](Settings& s) { s.classes[0].latency_objective = NAN; }, "classes[0].latency_objective");
    expect_named([](Settings& s) { s.classes[0].priority_weight = -1; }, "classes[0].priority_weight");
    expect_named([](Settings& s) { s.classes[0].dedup_window = -1; }, "classes[0].dedup_window");
    expect_named([](Settings& s) { s.classes[0].objective_per_effort = INFINITY; },
                 "classes[0].objective_per_effort");
    expect_named([](Settings& s) { s.sidecar_count = 0; }, "sidecar_count");
    expect_named([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
    expect_named([](Settings& s) { s.poll_interval = -1; }, "poll_interval");
    expect_named([](Settings& s) { s.slow_start_duration = -1; }, "slow_start_duration");
    expect_named([](Settings& s) { s.slow_start_overload_factor = 0.5; }, "slow_start_overload_factor");
    expect_named([](Settings& s) { s.slow_start_least_share = 1.5; }, "slow_start_least_share");
    expect_named([](Settings& s) { s.fees.cross_zone = -0.1; }, "fees.cross_zone");
    expect_named([](Settings& s) { s.fees.probe = -0.1; }, "fees.probe");
    EXPECT_EQ(validation_error([](Settings&) {}), "accepted");
}

TEST(EventHandling, EventsAboutUnknownOrEndedSubjectsAreIgnored) {
    BalancerFixture fixture = pool(2);
    const RequestId id = fixture.request();
    fixture.end(id, Outcome::success, 10);
    const auto expect_no_actions = [&](const Event& event) {
        std::vector<Action> actions;
        fixture.balancer.handle(fixture.now, event, actions);
        EXPECT_TRUE(actions.empty());
    };
    expect_no_actions(AttemptEnded{id, 0, Outcome::server_error, 5, true});
    expect_no_actions(AttemptEnded{999, 0, Outcome::server_error, 5, false});
    expect_no_actions(ClientDisconnected{id});
    expect_no_actions(ClientDisconnected{999});
    expect_no_actions(ResponseStarted{999, 0});
    expect_no_actions(TimerFired{12345});
    expect_no_actions(ProbeEnded{77, Outcome::success, 1});
    expect_no_actions(GossipReceived{3, {1, 2, 3}});
    const RequestId open = fixture.request();
    expect_no_actions(AttemptEnded{open, 7, Outcome::server_error, 5, false});
    fixture.end(open, Outcome::success, 10);
}

TEST(EventHandling, AClockStepBackDoesNotMoveTimers) {
    BalancerFixture fixture = pool(2);
    const RequestId id = fixture.request(0, 1000);
    std::vector<Action> actions;
    fixture.balancer.handle(fixture.now - 5000, RequestArrived{777, 0, 1000}, actions);
    for (const Action& a : actions)
        if (const auto* timer = std::get_if<SetTimer>(&a)) {
            EXPECT_EQ(timer->at, fixture.now + 1000);
        }
    EXPECT_FALSE(actions.empty());
    fixture.end(id, Outcome::success, 10);
}

}  // namespace
}  // namespace ochregrade::test
