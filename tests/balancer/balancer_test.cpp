// The mechanism, one behaviour a test: each fails when the behaviour it names is taken out of the module.
#include <cmath>
#include <stdexcept>

#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// A rig with `count` warm servers and one long-lived class.
Rig pool(EndpointId count, std::uint64_t seed = 1, Idempotency idempotency = Idempotency::not_idempotent) {
    Rig rig(make_settings({make_class(idempotency)}), seed);
    rig.list(EndpointUpdateKind::full, make_servers(count));
    return rig;
}

// One request after another; those that meet `failing` end as `outcome`, the others are served.
int run_requests(Rig& rig, int requests, const std::set<EndpointId>& failing, Outcome outcome,
                 Millis duration = 10) {
    int met = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        if (!rig.out(id)) continue;
        const bool is_failing = failing.count(rig.where(id)) > 0;
        met += is_failing;
        rig.end(id, is_failing ? outcome : Outcome::success, duration);
    }
    return met;
}

TEST(OutlierDetection, AFailingEndpointIsEjectedForTheBackoff) {
    Rig rig = pool(4);
    EXPECT_GT(run_requests(rig, 120, {1}, Outcome::server_error), 0);
    EXPECT_EQ(rig.removals(), 1);
    EXPECT_EQ(run_requests(rig, 120, {1}, Outcome::server_error), 0)
        << "within the backoff nothing goes to it";
}

TEST(OutlierDetection, ThreeFailuresInTwentyEjectAndTwoDoNot) {
    for (const int failures : {2, 3}) {
        Rig rig = pool(4);
        run_requests(rig, 400, {}, Outcome::success);  // full windows of successes
        int left = failures;
        while (left > 0) {
            const RequestId id = rig.request();
            const bool fail = rig.where(id) == 1;
            rig.end(id, fail ? Outcome::server_error : Outcome::success, 10);
            left -= fail;
        }
        EXPECT_EQ(rig.removals(), failures == 3 ? 1 : 0) << failures;
    }
}

TEST(OutlierDetection, OldOutcomesLeaveTheWindow) {
    Rig rig = pool(4);
    int failed = 0;
    for (int i = 0, on_one = 0; i < 3000; ++i) {
        const RequestId id = rig.request();
        const bool fail = rig.where(id) == 1 && on_one++ % 15 == 0;  // never three within twenty
        failed += fail;
        rig.end(id, fail ? Outcome::server_error : Outcome::success, 10);
    }
    EXPECT_GT(failed, 20);
    EXPECT_EQ(rig.removals(), 0);
}

TEST(OutlierDetection, ResponsesPastTheLatencyObjectiveCountAsFailures) {
    Rig rig = pool(8);
    for (int round = 0; round < 20 && rig.removals() == 0; ++round) {
        const auto ids = rig.burst(32, 5000);  // several to each server at once
        rig.now += 10;
        for (const RequestId id : ids)
            if (rig.out(id) && rig.where(id) != 1) rig.end(id, Outcome::success, 0);
        rig.now += 690;
        for (const RequestId id : ids)
            if (rig.out(id)) rig.end(id, Outcome::success, 0);
    }
    EXPECT_EQ(rig.removals(), 1);
    EXPECT_NE(rig.where(rig.request()), 1U);
}

TEST(OutlierDetection, FailuresOfAllEndpointsEjectNone) {
    Rig rig = pool(6);
    for (int i = 0; i < 600; ++i) {
        const RequestId id = rig.request();
        if (rig.out(id)) rig.end(id, i % 3 ? Outcome::success : Outcome::server_error, 10);
    }
    EXPECT_EQ(rig.removals(), 0) << "every third request fails everywhere: that tells nothing of a server";
}

TEST(OutlierDetection, ThePanicThresholdKeepsHalfOfThePool) {
    Rig rig = pool(6);
    for (EndpointId failing = 1; failing <= 5; ++failing) {  // one after the other, so that each stands out
        run_requests(rig, 60, {failing}, Outcome::server_error);
        EXPECT_EQ(rig.removals(), std::min<int>(3, static_cast<int>(failing)));
    }
}

TEST(OutlierDetection, EjectionDoesNotWaitForAFullWindow) {
    Rig rig = pool(4);
    const int met = run_requests(rig, 200, {1}, Outcome::connection_reset);
    EXPECT_EQ(rig.removals(), 1);
    EXPECT_EQ(met, 3) << "three failures of any twenty are under 0.9";
}

// ---- Half-open trial ------------------------------------------------------------------------------------

// Server 1 removed and its backoff just over; returns the request that is its trial.
RequestId start_trial(Rig& rig) {
    run_requests(rig, 120, {1}, Outcome::server_error);
    EXPECT_EQ(rig.removals(), 1);
    rig.pass(10001);
    RequestId id = 0;
    for (int i = 0; i < 200; ++i) {
        id = rig.request();
        if (rig.where(id) == 1) return id;
        rig.end(id, Outcome::success, 10);
    }
    ADD_FAILURE() << "no trial";
    return id;
}

TEST(HalfOpenTrial, OneRequestIsSentAndItsSuccessRestoresTheEndpoint) {
    Rig rig = pool(4);
    const RequestId id = start_trial(rig);
    for (int i = 0; i < 50; ++i) {
        const RequestId other = rig.request();
        EXPECT_NE(rig.where(other), 1U) << "one trial is enough";
        rig.end(other, Outcome::success, 1);
    }
    rig.end(id, Outcome::success, 1);
    EXPECT_EQ(rig.logs.back(), "restored after a successful half-open trial");
    EXPECT_GT(run_requests(rig, 100, {1}, Outcome::success), 0);
}

TEST(HalfOpenTrial, SuccessStartsAnEmptyWindow) {
    Rig rig = pool(4);
    rig.end(start_trial(rig), Outcome::success, 1);
    int left = 2;
    while (left > 0) {
        const RequestId id = rig.request();
        const bool fail = rig.where(id) == 1;
        rig.end(id, fail ? Outcome::server_error : Outcome::success, 10);
        left -= fail;
    }
    EXPECT_EQ(rig.removals(), 1) << "two failures of twenty are borne: the old ones are forgotten";
}

TEST(HalfOpenTrial, FailureStartsAnotherBackoff) {
    Rig rig = pool(4);
    rig.end(start_trial(rig), Outcome::server_error, 1);
    EXPECT_EQ(run_requests(rig, 100, {1}, Outcome::server_error), 0);
    rig.pass(10001);
    EXPECT_GT(run_requests(rig, 100, {1}, Outcome::server_error), 0);
}

TEST(HalfOpenTrial, ACancelledTrialIsRepeated) {
    Rig rig = pool(4);
    const RequestId id = start_trial(rig);
    rig.requests.at(id).gone = true;
    rig.give(ClientDisconnected{id});
    rig.end(id, Outcome::cancelled, 1);
    EXPECT_GT(run_requests(rig, 200, {1}, Outcome::success), 0) << "still due";
}

// ---- Endpoint selection ----------------------------------------------------------------------------------

TEST(EndpointSelection, OfTwoTheOneWithFewerInFlightIsSelected) {
    Rig rig = pool(2);
    const RequestId first = rig.request();
    for (int i = 0; i < 20; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.where(id), rig.where(first));
        rig.end(id, Outcome::success, 1);
    }
}

TEST(EndpointSelection, TheChoiceIsBetweenTwoRandomEndpoints) {
    Rig rig = pool(10);
    std::vector<RequestId> busy;
    busy.reserve(200);
    for (int i = 0; i < 200; ++i) busy.push_back(rig.request(0, 100000));
    std::map<EndpointId, int> load;
    for (const RequestId id : busy) ++load[rig.where(id)];
    EXPECT_EQ(load.size(), 10U);
    int most = 0, least = 1000;
    for (const auto& [server, n] : load) most = std::max(most, n), least = std::min(least, n);
    EXPECT_GT(most - least, 1) << "the least loaded of all would leave no such spread";
    EXPECT_LT(most - least, 8) << "one at random would leave more";
}

TEST(EndpointSelection, ARetryGoesToAnEndpointNotYetTried) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Rig rig = pool(3, seed, Idempotency::idempotent);
        const RequestId id = rig.request();
        const EndpointId first = rig.where(id);
        rig.end(id, Outcome::server_error, 10);
        ASSERT_EQ(rig.sends(id), 2U);
        EXPECT_NE(rig.where(id), first);
    }
}

// ---- Slow start -----------------------------------------------------------------------------------------

TEST(SlowStart, ANewEndpointGetsAPartialShareAndLaterTheFullOne) {
    Rig rig = pool(4);
    run_requests(rig, 1000, {}, Outcome::success);
    rig.list(EndpointUpdateKind::incremental, {{9, 0, 0, EndpointState::serving, rig.now}});
    std::map<EndpointId, int> load;
    for (int i = 0; i < 400; ++i) {
        const RequestId id = rig.request();
        ++load[rig.where(id)];
        rig.end(id, Outcome::success, 10);
    }
    EXPECT_GT(load[9], 0);
    EXPECT_LT(load[9], load[1] * 0.65) << "four seconds old: a third of its capacity, with leave to spare";
    rig.pass(21000);
    load.clear();
    for (int i = 0; i < 400; ++i) {
        const RequestId id = rig.request();
        ++load[rig.where(id)];
        rig.end(id, Outcome::success, 10);
    }
    EXPECT_GT(load[9], 50);
}

// ---- Retry budget, admission, list ----------------------------------------------------------------------

TEST(RetryBudget, RetriesToAFailingPoolStayWithinTheBudget) {
    Rig rig = pool(6, 1, Idempotency::idempotent);
    std::size_t sends = 0;
    const int requests = 500;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request();
        while (rig.out(id)) rig.end(id, Outcome::server_error, 2);
        sends += rig.sends(id);
    }
    EXPECT_GT(sends, requests * 1.1);
    EXPECT_LT(sends, requests * 1.3);
}

TEST(AdmissionControl, SlowResponsesBoundTheRequestsInFlight) {
    Rig rig = pool(4);
    for (int i = 0; i < 60; ++i) rig.serve(rig.burst(40, 5000), 600);  // half as slow again as the objective
    const auto ids = rig.burst(200, 5000);
    EXPECT_LT(rig.still_out(ids), 100);
    EXPECT_GE(rig.still_out(ids), 1) << "never shut";
}

// A rejection says when to retry: soon after an overload, after the backoff where no endpoint is available.
TEST(AdmissionControl, ARejectionSaysWhenToRetry) {
    Rig crowd = pool(4);
    for (int i = 0; i < 60; ++i) crowd.serve(crowd.burst(40, 5000), 600);
    crowd.advice.clear();
    crowd.burst(200, 5000);
    crowd.pass(100);
    EXPECT_GE(crowd.advice.size(), 100U);
    for (const Millis advice : crowd.advice) {
        EXPECT_GT(advice, 100);
        EXPECT_LE(advice, 600);
    }
    Rig empty = pool(1);
    empty.list(EndpointUpdateKind::incremental, {{1, 0, 0, EndpointState::draining, 0}});
    empty.request();
    empty.pass(100);
    EXPECT_EQ(empty.advice, std::vector<Millis>{10000});
}

TEST(AdmissionControl, FastResponsesBoundNothing) {
    Rig rig = pool(4);
    for (int i = 0; i < 60; ++i) rig.serve(rig.burst(40, 5000), 20);
    EXPECT_EQ(rig.still_out(rig.burst(200, 5000)), 200);
}

TEST(EndpointDiscovery, PolledDiscoveryIsSubscribedToAtTheStart) {
    for (const bool asked : {false, true}) {
        Settings s = make_settings();
        s.polled_discovery = asked;
        Rig rig(s);
        rig.give(Started{});
        EXPECT_EQ(rig.count<SubscribeEndpoints>(), asked ? 1 : 0);
    }
}

TEST(EndpointDiscovery, FailedCallsAreRepeatedWithBackoffAndJitter) {
    std::set<Millis> waits;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Settings s = make_settings();
        s.polled_discovery = true;
        Rig rig(s, seed);
        rig.give(Started{});
        Millis last_wait = 0, total = 0;
        for (int i = 0; i < 3; ++i) {
            rig.list(EndpointUpdateKind::failed, {});
            ASSERT_EQ(rig.timers.size(), 1U);
            last_wait = rig.timers.begin()->first - rig.now;
            if (i == 0) waits.insert(last_wait);
            total += last_wait;
            rig.now += last_wait;
            const TimerToken token = rig.timers.begin()->second;
            rig.timers.clear();
            rig.give(TimerFired{token});
            EXPECT_EQ(rig.count<SubscribeEndpoints>(), 1);
        }
        EXPECT_GE(total, 2500);
        EXPECT_LE(last_wait, 3000);
    }
    EXPECT_EQ(waits.size(), 5U) << "different seeds, different waits";
}

TEST(EndpointDiscovery, AFailedCallKeepsTheCurrentList) {
    Rig rig = pool(2);
    rig.list(EndpointUpdateKind::failed, {});
    EXPECT_TRUE(rig.out(rig.request()));
}

TEST(EndpointDiscovery, QueuedRequestsAreSentWhenAnEndpointAppears) {
    Rig rig(make_settings());
    rig.list(EndpointUpdateKind::cached, {});
    const RequestId id = rig.request();
    EXPECT_FALSE(rig.out(id));
    rig.now += 5;
    rig.list(EndpointUpdateKind::full, make_servers(2));
    EXPECT_TRUE(rig.out(id));
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
    Rig rig = pool(2);
    const RequestId id = rig.request();
    rig.end(id, Outcome::success, 10);
    const auto expect_no_actions = [&](const Event& event) {
        std::vector<Action> actions;
        rig.balancer.handle(rig.now, event, actions);
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
    const RequestId open = rig.request();
    expect_no_actions(AttemptEnded{open, 7, Outcome::server_error, 5, false});
    rig.end(open, Outcome::success, 10);
}

TEST(EventHandling, AClockStepBackDoesNotMoveTimers) {
    Rig rig = pool(2);
    const RequestId id = rig.request(0, 1000);
    std::vector<Action> actions;
    rig.balancer.handle(rig.now - 5000, RequestArrived{777, 0, 1000}, actions);
    for (const Action& a : actions)
        if (const auto* timer = std::get_if<SetTimer>(&a)) {
            EXPECT_EQ(timer->at, rig.now + 1000);
        }
    EXPECT_FALSE(actions.empty());
    rig.end(id, Outcome::success, 10);
}

}  // namespace
}  // namespace ochregrade::test
