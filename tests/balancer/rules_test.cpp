// Rules 1 to 3 on every action, over seeded random but legal event sequences, and the cases that tempt to
// break each of them. The sequences pick outcomes at random; no server is modelled here.
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

void end_random_attempt(Rig& rig, RandomNumbers& random) {
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    for (const auto& [id, r] : rig.requests)
        for (std::uint32_t i = 0; i < r.sent.size(); ++i)
            if (r.sent[i].out) out.emplace_back(id, i);
    if (out.empty()) return;
    const auto [id, attempt] = out[random.below(static_cast<std::uint32_t>(out.size()))];
    static const Outcome outcomes[] = {
        Outcome::success,          Outcome::success,         Outcome::success,
        Outcome::server_error,     Outcome::overloaded,      Outcome::timeout,
        Outcome::connection_reset, Outcome::connect_failure, Outcome::not_sent};
    const bool closed = rig.closed(rig.requests.at(id));
    rig.end_attempt(id, attempt, closed ? Outcome::cancelled : outcomes[random.below(9)]);
}

void change_list(Rig& rig, RandomNumbers& random) {
    const EndpointId id = 1 + random.below(10);
    const EndpointState states[] = {EndpointState::serving, EndpointState::serving, EndpointState::draining,
                                    EndpointState::gone};
    const Millis started_at = random.below(2) ? rig.now - random.below(5000) : 0;
    if (random.below(5)) {
        rig.list(EndpointUpdateKind::incremental,
                 {{id, id % 3, id % 2, states[random.below(4)], started_at}});
    } else {
        std::vector<Endpoint> endpoints;
        for (EndpointId s = 1; s <= 10; ++s)
            if (random.below(3)) endpoints.push_back({s, s % 3, s % 2, EndpointState::serving, 0});
        rig.list(random.below(4) ? EndpointUpdateKind::full : EndpointUpdateKind::failed, endpoints);
    }
}

void run_random_events(Rig& rig, RandomNumbers& random, int steps) {
    rig.give(Started{});
    rig.list(EndpointUpdateKind::cached, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t what = random.below(100);
        if (what < 45) {
            rig.request(random.below(6), 20 + random.below(1500));  // class 5 is unknown
        } else if (what < 85) {
            end_random_attempt(rig, random);
        } else if (what < 88) {
            change_list(rig, random);
        } else if (what < 90 && !rig.requests.empty()) {
            auto at = rig.requests.begin();
            std::advance(at, random.below(static_cast<std::uint32_t>(rig.requests.size())));
            if (!rig.closed(at->second)) {
                at->second.gone = true;
                rig.give(ClientDisconnected{at->first});
            }
        } else if (what < 92) {  // probes and peers may say anything
            const Outcome outcomes[] = {Outcome::success, Outcome::timeout, Outcome::overloaded};
            for (EndpointId s = 1; s <= 10; ++s)
                if (random.below(2))
                    rig.give(ProbeEnded{s, outcomes[random.below(3)], Millis(random.below(100))});
            rig.give(GossipReceived{random.below(200), {0, 0, 0, std::uint8_t(random.below(14))}});
        } else {
            rig.pass(random.below(what == 99 ? 4000 : 60));
        }
        for (auto at = rig.requests.begin(); at != rig.requests.end();)  // keeps the rig quick
            at = rig.closed(at->second) && !rig.out(at->first) ? rig.requests.erase(at) : std::next(at);
    }
}

TEST(Rules, HoldOverRandomLegalEventSequences) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Rig rig(all_classes(seed % 2), seed);
        RandomNumbers random(seed);
        run_random_events(rig, random, 1500);
        rig.settle();
        if (::testing::Test::HasFailure()) return;
    }
}

// Classes in another order and number, other limits: who mixed them up would resend what must not run twice.
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
        Rig rig(all_classes(seed % 2), seed);
        RandomNumbers random(seed);
        for (int round = 0; round < 60; ++round) {
            run_random_events(rig, random, 25);
            const SettingsPtr before = rig.current;
            rig.change(random_settings(random));
            for (std::uint32_t i = 0; i < before->classes.size(); ++i) rig.request_by(before, i, 500);
        }
        rig.settle();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Restore, AnEjectionContinuesAfterARestart) {
    Rig rig(all_classes(false), 4);
    rig.list(EndpointUpdateKind::full, make_servers(4));
    for (int i = 0; i < 200; ++i) {
        const RequestId id = rig.request(0);
        while (rig.out(id)) rig.end(id, rig.where(id) == 1 ? Outcome::server_error : Outcome::success, 5);
    }
    std::vector<EndpointSnapshot> snapshot = rig.balancer.snapshot();
    ASSERT_EQ(snapshot.at(0).endpoint, 1U);
    EXPECT_GT(snapshot[0].ejected_for, 0);
    EXPECT_LE(snapshot[0].ejected_for, 10000);
    snapshot[0].ejected_for = 1e9;  // whatever the disk says: no longer than a backoff
    Rig next(all_classes(false), 5);
    next.list(EndpointUpdateKind::cached, make_servers(4));
    next.give(StateRestored{snapshot});
    for (int i = 0; i < 100; ++i) {
        const RequestId id = next.request(0);
        EXPECT_NE(next.where(id), 1U);
        next.end(id, Outcome::success, 5);
    }
    next.pass(10000);
    const RequestId trial = next.request(0);
    EXPECT_EQ(next.where(trial), 1U) << "and a trial brings it back";
    next.end(trial, Outcome::success, 5);
    EXPECT_EQ(next.balancer.usage().ejected, 0U);
    next.give(StateRestored{snapshot});
    EXPECT_EQ(next.balancer.usage().ejected, 1U) << "fresh as it is, it may be told of again";
    next.give(StateRestored{{{2, 5000, 0}, {77, 5000, 0}}});
    EXPECT_EQ(next.balancer.usage().ejected, 1U) << "what this life has seen goes before";
}

TEST(Restore, RestoredEjectionsDoNotEmptyThePool) {
    Rig rig(all_classes(false), 4);
    rig.list(EndpointUpdateKind::cached, make_servers(6));
    std::vector<EndpointSnapshot> all;
    for (EndpointId s = 1; s <= 6; ++s) all.push_back({s, 9000, -3});
    rig.give(StateRestored{all});
    EXPECT_EQ(rig.balancer.usage().ejected, 3U);
    EXPECT_TRUE(rig.out(rig.request(0)));
}

TEST(SettingsChange, TheStateOfEndpointsIsKept) {
    Rig rig(all_classes(false), 4);
    rig.list(EndpointUpdateKind::full, make_servers(4));
    for (int i = 0; i < 200; ++i) {
        const RequestId id = rig.request(0);
        while (rig.out(id)) rig.end(id, rig.where(id) == 1 ? Outcome::server_error : Outcome::success, 5);
    }
    ASSERT_EQ(rig.balancer.usage().ejected, 1U);
    Settings other = all_classes(true);
    std::reverse(other.classes.begin(), other.classes.end());
    rig.change(other);
    EXPECT_EQ(rig.balancer.usage().ejected, 1U);
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request(4);
        EXPECT_NE(rig.where(id), 1U) << "it is still out of the pool";
        rig.end(id, Outcome::success, 5);
    }
}

TEST(SettingsChange, InvalidSettingsHaveNoEffect) {
    Rig rig(all_classes(false), 4);
    rig.list(EndpointUpdateKind::full, make_servers(4));
    const SettingsPtr good = rig.current;
    Settings bad = all_classes(false);
    bad.classes[0].latency_objective = -1;
    rig.give(SettingsChanged{std::make_shared<const Settings>(bad)});
    rig.give(SettingsChanged{});
    const RequestId id = rig.request(0);
    rig.end(id, Outcome::server_error, 5);
    EXPECT_EQ(rig.sends(id), 2U) << "as before: idempotent, and so retried";
    EXPECT_EQ(rig.current, good);
}

// A change counts as known 6 s after discovery had it and could be reached, however long it could not. So
// however often calls for the list fail, half of that is left to the next call.
TEST(EndpointDiscovery, ThePollIntervalBoundsTheBackoffAfterFailedCalls) {
    for (const Millis within : {100.0, 1000.0, 10000.0, 0.0})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Settings settings = all_classes(false);
            settings.polled_discovery = true;
            settings.poll_interval = within;
            Balancer balancer(settings, seed);
            Millis longest = 0;
            for (int call = 0; call < 10; ++call) {
                std::vector<Action> actions;
                balancer.handle(1e6 * call, EndpointUpdate{EndpointUpdateKind::failed, {}}, actions);
                ASSERT_EQ(actions.size(), 1u);
                const Millis pause = std::get<SetTimer>(actions[0]).at - 1e6 * call;
                EXPECT_GT(pause, 0);
                longest = std::max(longest, pause);
            }
            EXPECT_LE(longest, within > 0 ? std::min(3000.0, 2 * within) : 3000.0);
            EXPECT_GT(longest, within > 0 ? std::min(1500.0, within * 2 / 3) : 1500.0) << "but they do grow";
        }
}

TEST(SettingsChange, TurningPolledDiscoveryOnSubscribesOnce) {
    Rig rig(all_classes(false), 4);
    Settings asked = all_classes(false);
    asked.polled_discovery = true;
    rig.change(asked);
    EXPECT_EQ(rig.count<SubscribeEndpoints>(), 1);
    rig.change(asked);
    EXPECT_EQ(rig.count<SubscribeEndpoints>(), 0) << "it is subscribed already";
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        Rig rig(all_classes(false), 5);
        RandomNumbers random(5);
        std::string trace;
        rig.list(EndpointUpdateKind::full, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = rig.request(random.below(5));
            trace += rig.out(id) ? std::to_string(rig.where(id)) + "," : "-,";
            end_random_attempt(rig, random);
            rig.now += 1;
            if (i % 50 == 49) rig.change(random_settings(random));
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedOverALongRun) {
    Rig rig(all_classes(false), 3);
    RandomNumbers random(3);
    EndpointId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        run_random_events(rig, random, 300);
        rig.list(EndpointUpdateKind::full,
                 {{fresh, 0, 0, EndpointState::serving, 0}, {fresh + 1, 1, 1, EndpointState::serving, 0}});
        fresh += 2;
        rig.pass(10000);
    }
    rig.settle();
    EXPECT_EQ(rig.balancer.usage().requests, 0U);
    EXPECT_LE(rig.balancer.usage().endpoints, 2U);
    EXPECT_LE(rig.balancer.usage().timers, 1U);
}

// ---- One temptation each --------------------------------------------------------------------------------

Rig three_endpoints(RequestClass kind, std::uint64_t seed = 1) {
    Rig rig(make_settings({kind}), seed);
    rig.list(EndpointUpdateKind::full, make_servers(3));
    return rig;
}

TEST(Idempotency, ANonIdempotentRequestThatMayHaveRunIsNotRetriedOrRejected) {
    for (const Outcome outcome : {Outcome::server_error, Outcome::timeout, Outcome::connection_reset}) {
        Rig rig = three_endpoints(make_class(Idempotency::not_idempotent));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.sends(id), 1U);
        EXPECT_EQ(rig.requests.at(id).answers, 1);
        EXPECT_FALSE(rig.requests.at(id).refused);
    }
}

TEST(Idempotency, AnUnknownClassIsTreatedAsNotIdempotent) {
    Rig rig = three_endpoints(make_class(Idempotency::idempotent));
    const RequestId id = rig.request(9);
    rig.end(id, Outcome::server_error);
    EXPECT_EQ(rig.sends(id), 1U);
    EXPECT_FALSE(rig.requests.at(id).refused);
}

TEST(Idempotency, AnIdempotentRequestIsRetriedAfterAnyFailure) {
    for (const Outcome outcome : {Outcome::server_error, Outcome::connection_reset, Outcome::overloaded}) {
        Rig rig = three_endpoints(make_class(Idempotency::idempotent));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.sends(id), 2U);
    }
}

TEST(Idempotency, ARetryWithAKeyStaysInItsZoneAndWindow) {
    Rig rig(make_settings({make_class(Idempotency::idempotent_with_key, DedupScope::zone, 300)}));
    rig.list(EndpointUpdateKind::full, make_servers(9));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = rig.request();
        const EndpointId first = rig.where(id);
        rig.end(id, i % 2 ? Outcome::server_error : Outcome::connection_reset, i % 3 ? 10 : 400);
        if (i % 3) {
            EXPECT_EQ(rig.where(id) % 3, first % 3);
        } else {
            EXPECT_EQ(rig.sends(id), 1U) << "the window has passed";
        }
        while (rig.out(id)) rig.end(id, Outcome::success, 1);
    }
}

// A process may be held up for 0.15 s between the decision and the write.
TEST(Idempotency, ARequestWithAKeyIsNotRetriedAtTheEndOfItsWindow) {
    constexpr Millis kWindow = 2000, kHeldUp = 150;
    for (const Millis before_the_end : {kHeldUp - 10, kHeldUp + 10}) {
        Rig rig(make_settings({make_class(Idempotency::idempotent_with_key, DedupScope::all, kWindow)}));
        rig.list(EndpointUpdateKind::full, make_servers(9));
        const RequestId id = rig.request(0, 2 * kWindow);
        rig.end(id, Outcome::server_error, kWindow - before_the_end);
        EXPECT_EQ(rig.sends(id), before_the_end > kHeldUp ? 2U : 1U);
        while (rig.out(id)) rig.end(id, Outcome::success, 1);
    }
}

TEST(Idempotency, AfterAPossibleRunOnlyAKeyOfAllZonesAllowsRejection) {
    for (const DedupScope scope : {DedupScope::zone, DedupScope::all}) {
        Rig rig(make_settings({make_class(Idempotency::idempotent_with_key, scope)}));
        rig.list(EndpointUpdateKind::full, make_servers(1));
        const RequestId id = rig.request(0, 300);
        rig.end(id, Outcome::server_error, 10);
        while (rig.out(id)) rig.end(id, Outcome::server_error, 10);
        rig.settle();
        EXPECT_EQ(rig.requests.at(id).refused, scope == DedupScope::all);
    }
}

TEST(EndpointSelection, ADrainingEndpointGetsNoRequests) {
    Rig rig = three_endpoints(make_class(Idempotency::idempotent));
    rig.list(EndpointUpdateKind::incremental, {{1, 0, 0, EndpointState::draining, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.where(id), 1U);
        rig.end(id, Outcome::success);
    }
}

TEST(Deadlines, AQueuedRequestIsAnsweredInTime) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    const RequestId id = rig.request(0, 50);
    EXPECT_EQ(rig.requests.at(id).answers, 0);
    rig.settle();
    EXPECT_EQ(rig.requests.at(id).answers, 1);
    EXPECT_TRUE(rig.requests.at(id).refused) << "it never went out, so trying again is harmless";
}

}  // namespace
}  // namespace ochregrade::test
