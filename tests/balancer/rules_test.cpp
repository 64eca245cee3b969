// Checks rules 1 to 3 (balancer_fixture.hpp) on every action, over random but legal sequences of events and
// in single cases in which an implementation would easily break one of the rules. Outcomes are drawn at
// random; no endpoint is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

class RandomNumbers {
public:
    explicit RandomNumbers(std::uint64_t seed) : state_(seed * 2654435761u + 1) {}
    std::uint32_t below(std::uint32_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % n;
    }

private:
    std::uint64_t state_;
};

Settings all_classes(bool hedging_allowed) {
    Settings s = make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::not_idempotent),
                                make_class(Idempotency::idempotent_with_key, DedupScope::all, 700),
                                make_class(Idempotency::idempotent_with_key, DedupScope::zone, 700),
                                make_class(Idempotency::idempotent_with_key, DedupScope::cell, 700)});
    s.hedging_allowed = hedging_allowed;
    s.probes_allowed = s.gossip_allowed = true;
    s.sidecar_count = 100;
    return s;
}

void end_random_attempt(BalancerFixture& fixture, RandomNumbers& random) {
    std::vector<std::pair<RequestId, std::uint32_t>> in_flight;
    for (const auto& [id, r] : fixture.requests)
        for (std::uint32_t i = 0; i < r.attempts.size(); ++i)
            if (r.attempts[i].in_flight) in_flight.emplace_back(id, i);
    if (in_flight.empty()) return;
    const auto [id, attempt] = in_flight[random.below(static_cast<std::uint32_t>(in_flight.size()))];
    static const Outcome outcomes[] = {
        Outcome::success,          Outcome::success,         Outcome::success,
        Outcome::server_error,     Outcome::overloaded,      Outcome::timeout,
        Outcome::connection_reset, Outcome::connect_failure, Outcome::not_sent};
    const bool ended = fixture.is_ended(fixture.requests.at(id));
    fixture.end_attempt(id, attempt, ended ? Outcome::cancelled : outcomes[random.below(9)]);
}

void change_list(BalancerFixture& fixture, RandomNumbers& random) {
    const EndpointId id = 1 + random.below(10);
    const EndpointState states[] = {EndpointState::serving, EndpointState::serving, EndpointState::draining,
                                    EndpointState::removed};
    const Millis started_at = random.below(2) ? fixture.now - random.below(5000) : 0;
    if (random.below(5)) {
        fixture.list(EndpointUpdateKind::incremental,
                     {{id, id % 3, id % 2, states[random.below(4)], started_at}});
    } else {
        std::vector<Endpoint> endpoints;
        for (EndpointId s = 1; s <= 10; ++s)
            if (random.below(3)) endpoints.push_back({s, s % 3, s % 2, EndpointState::serving, 0});
        fixture.list(random.below(4) ? EndpointUpdateKind::full : EndpointUpdateKind::failed, endpoints);
    }
}

void run_random_events(BalancerFixture& fixture, RandomNumbers& random, int steps) {
    fixture.handle_event(Started{});
    fixture.list(EndpointUpdateKind::cached, make_endpoints(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t what = random.below(100);
        if (what < 45) {
            fixture.request(random.below(6), 20 + random.below(1500));  // class 5 does not exist
        } else if (what < 85) {
            end_random_attempt(fixture, random);
        } else if (what < 88) {
            change_list(fixture, random);
        } else if (what < 90 && !fixture.requests.empty()) {
            auto at = fixture.requests.begin();
            std::advance(at, random.below(static_cast<std::uint32_t>(fixture.requests.size())));
            if (!fixture.is_ended(at->second)) {
                at->second.client_disconnected = true;
                fixture.handle_event(ClientDisconnected{at->first});
            }
        } else if (what < 92) {  // probe results and messages of peers may arrive at any time
            const Outcome outcomes[] = {Outcome::success, Outcome::timeout, Outcome::overloaded};
            for (EndpointId s = 1; s <= 10; ++s)
                if (random.below(2))
                    fixture.handle_event(ProbeEnded{s, outcomes[random.below(3)], Millis(random.below(100))});
            fixture.handle_event(
                GossipReceived{random.below(200), {0, 0, 0, std::uint8_t(random.below(14))}});
        } else {
            fixture.advance(random.below(what == 99 ? 4000 : 60));
        }
        // Erases the ended requests, which keeps the test fast.
        for (auto at = fixture.requests.begin(); at != fixture.requests.end();)
            at = fixture.is_ended(at->second) && !fixture.in_flight(at->first) ? fixture.requests.erase(at)
                                                                               : std::next(at);
    }
}

TEST(Rules, HoldOverRandomLegalEventSequences) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        BalancerFixture fixture(all_classes(seed % 2), seed);
        RandomNumbers random(seed);
        run_random_events(fixture, random, 1500);
        fixture.finish_all();
        if (::testing::Test::HasFailure()) return;
    }
}

// Settings with request classes in another order and number and with other limits than all_classes(). A
// balancer that applied these settings to a request that arrived under earlier settings would repeat requests
// that must not run twice.
Settings random_settings(RandomNumbers& random) {
    Settings s = all_classes(random.below(2));
    for (std::size_t i = s.classes.size(); i > 1; --i)
        std::swap(s.classes[i - 1], s.classes[random.below(static_cast<std::uint32_t>(i))]);
    s.classes.resize(1 + random.below(static_cast<std::uint32_t>(s.classes.size())));
    s.max_attempts = 1 + random.below(5);
    s.cancel_allowed = random.below(2);
    s.probes_allowed = random.below(2);
    s.sidecar_count = 1 + random.below(100);
    s.sidecar_index = random.below(100);
    if (random.below(2)) s.local_zone = random.below(3);
    s.fees.cross_zone = random.below(2) * 0.1;
    return s;
}

TEST(Rules, HoldForEachRequestByTheSettingsItArrivedUnder) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        BalancerFixture fixture(all_classes(seed % 2), seed);
        RandomNumbers random(seed);
        for (int round = 0; round < 60; ++round) {
            run_random_events(fixture, random, 25);
            const SettingsPtr before = fixture.current_settings;
            fixture.change_settings(random_settings(random));
            for (std::uint32_t i = 0; i < before->classes.size(); ++i) fixture.request_under(before, i, 500);
        }
        fixture.finish_all();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Restore, AnEjectionContinuesAfterARestart) {
    BalancerFixture fixture(all_classes(false), 4);
    fixture.list(EndpointUpdateKind::full, make_endpoints(4));
    for (int i = 0; i < 200; ++i) {
        const RequestId id = fixture.request(0);
        while (fixture.in_flight(id))
            fixture.end(id, fixture.endpoint_of(id) == 1 ? Outcome::server_error : Outcome::success, 5);
    }
    std::vector<EndpointSnapshot> snapshot = fixture.balancer.snapshot();
    ASSERT_EQ(snapshot.at(0).endpoint, 1U);
    EXPECT_GT(snapshot[0].ejected_for, 0);
    EXPECT_LE(snapshot[0].ejected_for, 10000);
    snapshot[0].ejected_for = 1e9;  // invalid data from disk: cut to a backoff of 10 s
    BalancerFixture next(all_classes(false), 5);
    next.list(EndpointUpdateKind::cached, make_endpoints(4));
    next.handle_event(StateRestored{snapshot});
    for (int i = 0; i < 100; ++i) {
        const RequestId id = next.request(0);
        EXPECT_NE(next.endpoint_of(id), 1U);
        next.end(id, Outcome::success, 5);
    }
    next.advance(10000);
    const RequestId trial = next.request(0);
    EXPECT_EQ(next.endpoint_of(trial), 1U) << "the half-open trial after the backoff";
    next.end(trial, Outcome::success, 5);
    EXPECT_EQ(next.balancer.usage().ejected, 0U);
    next.handle_event(StateRestored{snapshot});
    EXPECT_EQ(next.balancer.usage().ejected, 1U)
        << "an endpoint without outcomes in this run can be restored as ejected once more";
    next.handle_event(StateRestored{{{2, 5000, 0}, {77, 5000, 0}}});
    EXPECT_EQ(next.balancer.usage().ejected, 1U) << "what this run has seen takes precedence";
}

TEST(Restore, RestoredEjectionsDoNotEmptyThePool) {
    BalancerFixture fixture(all_classes(false), 4);
    fixture.list(EndpointUpdateKind::cached, make_endpoints(6));
    std::vector<EndpointSnapshot> all;
    for (EndpointId s = 1; s <= 6; ++s) all.push_back({s, 9000, -3});
    fixture.handle_event(StateRestored{all});
    EXPECT_EQ(fixture.balancer.usage().ejected, 3U);
    EXPECT_TRUE(fixture.in_flight(fixture.request(0)));
}

TEST(SettingsChange, TheStateOfEndpointsIsKept) {
    BalancerFixture fixture(all_classes(false), 4);
    fixture.list(EndpointUpdateKind::full, make_endpoints(4));
    for (int i = 0; i < 200; ++i) {
        const RequestId id = fixture.request(0);
        while (fixture.in_flight(id))
            fixture.end(id, fixture.endpoint_of(id) == 1 ? Outcome::server_error : Outcome::success, 5);
    }
    ASSERT_EQ(fixture.balancer.usage().ejected, 1U);
    Settings other = all_classes(true);
    std::reverse(other.classes.begin(), other.classes.end());
    fixture.change_settings(other);
    EXPECT_EQ(fixture.balancer.usage().ejected, 1U);
    for (int i = 0; i < 50; ++i) {
        const RequestId id = fixture.request(4);
        EXPECT_NE(fixture.endpoint_of(id), 1U) << "the endpoint is still ejected";
        fixture.end(id, Outcome::success, 5);
    }
}

TEST(SettingsChange, InvalidSettingsHaveNoEffect) {
    BalancerFixture fixture(all_classes(false), 4);
    fixture.list(EndpointUpdateKind::full, make_endpoints(4));
    const SettingsPtr good = fixture.current_settings;
    Settings bad = all_classes(false);
    bad.classes[0].latency_objective = -1;
    fixture.handle_event(SettingsChanged{std::make_shared<const Settings>(bad)});
    fixture.handle_event(SettingsChanged{});
    const RequestId id = fixture.request(0);
    fixture.end(id, Outcome::server_error, 5);
    EXPECT_EQ(fixture.attempt_count(id), 2U) << "the class is still idempotent, so the request is retried";
    EXPECT_EQ(fixture.current_settings, good);
}

// The platform expects a sidecar to know a list change at the latest 6 s after discovery has the change and
// is reachable, however long discovery was unreachable before. If the poll interval is set, the time is four
// poll intervals if that is less. A backoff without a bound would exceed this time. However many calls have
// failed, the delay before the next call is at most half of this time, which leaves the other half to the
// call.
TEST(EndpointDiscovery, ThePollIntervalBoundsTheBackoffAfterFailedCalls) {
    for (const Millis poll_interval : {100.0, 1000.0, 10000.0, 0.0})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Settings settings = all_classes(false);
            settings.polled_discovery = true;
            settings.poll_interval = poll_interval;
            Balancer balancer(settings, seed);
            Millis longest_delay = 0;
            for (int call = 0; call < 10; ++call) {
                std::vector<Action> actions;
                balancer.handle(1e6 * call, EndpointUpdate{EndpointUpdateKind::failed, {}}, actions);
                ASSERT_EQ(actions.size(), 1u);
                const Millis delay = std::get<SetTimer>(actions[0]).at - 1e6 * call;
                EXPECT_GT(delay, 0);
                longest_delay = std::max(longest_delay, delay);
            }
            EXPECT_LE(longest_delay, poll_interval > 0 ? std::min(3000.0, 2 * poll_interval) : 3000.0);
            EXPECT_GT(longest_delay, poll_interval > 0 ? std::min(1500.0, poll_interval * 2 / 3) : 1500.0)
                << "the delays grow";
        }
}

TEST(SettingsChange, TurningPolledDiscoveryOnSubscribesOnce) {
    BalancerFixture fixture(all_classes(false), 4);
    Settings polled = all_classes(false);
    polled.polled_discovery = true;
    fixture.change_settings(polled);
    EXPECT_EQ(fixture.count<SubscribeEndpoints>(), 1);
    fixture.change_settings(polled);
    EXPECT_EQ(fixture.count<SubscribeEndpoints>(), 0) << "the sidecar is already subscribed";
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        BalancerFixture fixture(all_classes(false), 5);
        RandomNumbers random(5);
        std::string trace;
        fixture.list(EndpointUpdateKind::full, make_endpoints(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = fixture.request(random.below(5));
            trace += fixture.in_flight(id) ? std::to_string(fixture.endpoint_of(id)) + "," : "-,";
            end_random_attempt(fixture, random);
            fixture.now += 1;
            if (i % 50 == 49) fixture.change_settings(random_settings(random));
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedOverALongRun) {
    BalancerFixture fixture(all_classes(false), 3);
    RandomNumbers random(3);
    EndpointId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        run_random_events(fixture, random, 300);
        fixture.list(EndpointUpdateKind::full, {{fresh, 0, 0, EndpointState::serving, 0},
                                                {fresh + 1, 1, 1, EndpointState::serving, 0}});
        fresh += 2;
        fixture.advance(10000);
    }
    fixture.finish_all();
    EXPECT_EQ(fixture.balancer.usage().requests, 0U);
    EXPECT_LE(fixture.balancer.usage().endpoints, 2U);
    EXPECT_LE(fixture.balancer.usage().timers, 1U);
}

// ---- Single cases ---------------------------------------------------------------------------------------

BalancerFixture three_endpoints(RequestClass kind, std::uint64_t seed = 1) {
    BalancerFixture fixture(make_settings({kind}), seed);
    fixture.list(EndpointUpdateKind::full, make_endpoints(3));
    return fixture;
}

TEST(Idempotency, ANonIdempotentRequestThatMayHaveRunIsNotRetriedOrRejected) {
    for (const Outcome outcome : {Outcome::server_error, Outcome::timeout, Outcome::connection_reset}) {
        BalancerFixture fixture = three_endpoints(make_class(Idempotency::not_idempotent));
        const RequestId id = fixture.request();
        fixture.end(id, outcome);
        EXPECT_EQ(fixture.attempt_count(id), 1U);
        EXPECT_EQ(fixture.requests.at(id).final_responses, 1);
        EXPECT_FALSE(fixture.requests.at(id).rejected);
    }
}

TEST(Idempotency, AnUnknownClassIsTreatedAsNotIdempotent) {
    BalancerFixture fixture = three_endpoints(make_class(Idempotency::idempotent));
    const RequestId id = fixture.request(9);
    fixture.end(id, Outcome::server_error);
    EXPECT_EQ(fixture.attempt_count(id), 1U);
    EXPECT_FALSE(fixture.requests.at(id).rejected);
}

TEST(Idempotency, AnIdempotentRequestIsRetriedAfterAnyFailure) {
    for (const Outcome outcome : {Outcome::server_error, Outcome::connection_reset, Outcome::overloaded}) {
        BalancerFixture fixture = three_endpoints(make_class(Idempotency::idempotent));
        const RequestId id = fixture.request();
        fixture.end(id, outcome);
        EXPECT_EQ(fixture.attempt_count(id), 2U);
    }
}

TEST(Idempotency, ARetryWithAKeyStaysInItsZoneAndWindow) {
    BalancerFixture fixture(
        make_settings({make_class(Idempotency::idempotent_with_key, DedupScope::zone, 300)}));
    fixture.list(EndpointUpdateKind::full, make_endpoints(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = fixture.request();
        const EndpointId first = fixture.endpoint_of(id);
        fixture.end(id, i % 2 ? Outcome::server_error : Outcome::connection_reset, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(fixture.endpoint_of(id) % 3, first % 3);
        } else {
            EXPECT_EQ(fixture.attempt_count(id), 1U) << "the deduplication window has expired";
        }
        while (fixture.in_flight(id)) fixture.end(id, Outcome::success, 1);
    }
}

// The sidecar process may be stalled for 0.15 s (kHeldUp) between the decision to retry and the write. A
// request whose retry is decided on just before its deduplication window expires could then be written after
// the window, and run twice.
TEST(Idempotency, ARequestWithAKeyIsNotRetriedAtTheEndOfItsWindow) {
    constexpr Millis kWindow = 2000, kHeldUp = 150;
    for (const Millis before_the_end : {kHeldUp - 10, kHeldUp + 10}) {
        BalancerFixture fixture(
            make_settings({make_class(Idempotency::idempotent_with_key, DedupScope::all, kWindow)}));
        fixture.list(EndpointUpdateKind::full, make_endpoints(9));
        const RequestId id = fixture.request(0, 2 * kWindow);
        fixture.end(id, Outcome::server_error, kWindow - before_the_end);
        EXPECT_EQ(fixture.attempt_count(id), before_the_end > kHeldUp ? 2U : 1U);
        while (fixture.in_flight(id)) fixture.end(id, Outcome::success, 1);
    }
}

TEST(Idempotency, AfterAPossibleRunOnlyAKeyOfAllZonesAllowsRejection) {
    for (const DedupScope scope : {DedupScope::zone, DedupScope::all}) {
        BalancerFixture fixture(make_settings({make_class(Idempotency::idempotent_with_key, scope)}));
        fixture.list(EndpointUpdateKind::full, make_endpoints(1));
        const RequestId id = fixture.request(0, 300);
        fixture.end(id, Outcome::server_error, 10);
        while (fixture.in_flight(id)) fixture.end(id, Outcome::server_error, 10);
        fixture.finish_all();
        EXPECT_EQ(fixture.requests.at(id).rejected, scope == DedupScope::all);
    }
}

TEST(EndpointSelection, ADrainingEndpointGetsNoRequests) {
    BalancerFixture fixture = three_endpoints(make_class(Idempotency::idempotent));
    fixture.list(EndpointUpdateKind::incremental, {{1, 0, 0, EndpointState::draining, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = fixture.request();
        EXPECT_NE(fixture.endpoint_of(id), 1U);
        fixture.end(id, Outcome::success);
    }
}

TEST(Deadlines, AQueuedRequestGetsItsFinalResponseInTime) {
    BalancerFixture fixture(make_settings({make_class(Idempotency::not_idempotent)}));
    const RequestId id = fixture.request(0, 50);
    EXPECT_EQ(fixture.requests.at(id).final_responses, 0);
    fixture.finish_all();
    EXPECT_EQ(fixture.requests.at(id).final_responses, 1);
    EXPECT_TRUE(fixture.requests.at(id).rejected)
        << "the request was never sent, so that a retry is harmless";
}

}  // namespace
}  // namespace ochregrade::test
