// Rules 1 to 3 on every action, over seeded random but legal event sequences, and each rule's temptation.
// The sequences pick outcomes at random; no server is modelled here.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

class Dice {
public:
    explicit Dice(std::uint64_t seed) : state_(seed * 2654435761u + 1) {}
    std::uint32_t below(std::uint32_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::uint32_t>(state_ >> 33) % n;
    }

private:
    std::uint64_t state_;
};

Settings mixed(bool parallel) {
    Settings s = make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::not_idempotent),
                                make_class(Idempotency::idempotent_with_key, DedupScope::all, 700),
                                make_class(Idempotency::idempotent_with_key, DedupScope::zone, 700),
                                make_class(Idempotency::idempotent_with_key, DedupScope::cell, 700)});
    s.hedging_allowed = parallel;
    s.probes_allowed = s.gossip_allowed = true;
    s.sidecar_count = 100;
    return s;
}

void end_random(Rig& rig, Dice& dice) {
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    for (const auto& [id, r] : rig.requests)
        for (std::uint32_t i = 0; i < r.sent.size(); ++i)
            if (r.sent[i].out) out.emplace_back(id, i);
    if (out.empty()) return;
    const auto [id, attempt] = out[dice.below(static_cast<std::uint32_t>(out.size()))];
    static const Outcome outcomes[] = {
        Outcome::success,          Outcome::success,         Outcome::success,
        Outcome::server_error,     Outcome::overloaded,      Outcome::timeout,
        Outcome::connection_reset, Outcome::connect_failure, Outcome::not_sent};
    const bool closed = rig.closed(rig.requests.at(id));
    rig.end_attempt(id, attempt, closed ? Outcome::cancelled : outcomes[dice.below(9)]);
}

void change_list(Rig& rig, Dice& dice) {
    const EndpointId id = 1 + dice.below(10);
    const EndpointState phases[] = {EndpointState::serving, EndpointState::serving, EndpointState::draining,
                                    EndpointState::gone};
    const Millis since = dice.below(2) ? rig.now - dice.below(5000) : 0;
    if (dice.below(5)) {
        rig.list(EndpointUpdateKind::incremental, {{id, id % 3, id % 2, phases[dice.below(4)], since}});
    } else {
        std::vector<Endpoint> infos;
        for (EndpointId s = 1; s <= 10; ++s)
            if (dice.below(3)) infos.push_back({s, s % 3, s % 2, EndpointState::serving, 0});
        rig.list(dice.below(4) ? EndpointUpdateKind::full : EndpointUpdateKind::failed, infos);
    }
}

void random_life(Rig& rig, Dice& dice, int steps) {
    rig.give(Started{});
    rig.list(EndpointUpdateKind::cached, make_servers(6));
    for (int i = 0; i < steps; ++i) {
        const std::uint32_t what = dice.below(100);
        if (what < 45) {
            rig.request(dice.below(6), 20 + dice.below(1500));  // class 5 is unknown
        } else if (what < 85) {
            end_random(rig, dice);
        } else if (what < 88) {
            change_list(rig, dice);
        } else if (what < 90 && !rig.requests.empty()) {
            auto at = rig.requests.begin();
            std::advance(at, dice.below(static_cast<std::uint32_t>(rig.requests.size())));
            if (!rig.closed(at->second)) {
                at->second.gone = true;
                rig.give(ClientDisconnected{at->first});
            }
        } else if (what < 92) {  // probes and peers may say anything
            const Outcome said[] = {Outcome::success, Outcome::timeout, Outcome::overloaded};
            for (EndpointId s = 1; s <= 10; ++s)
                if (dice.below(2)) rig.give(ProbeEnded{s, said[dice.below(3)], Millis(dice.below(100))});
            rig.give(GossipReceived{dice.below(200), {0, 0, 0, std::uint8_t(dice.below(14))}});
        } else {
            rig.pass(dice.below(what == 99 ? 4000 : 60));
        }
        for (auto at = rig.requests.begin(); at != rig.requests.end();)  // keeps the rig quick
            at = rig.closed(at->second) && !rig.out(at->first) ? rig.requests.erase(at) : std::next(at);
    }
}

TEST(Rules, HoldOverRandomLegalLives) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Rig rig(mixed(seed % 2), seed);
        Dice dice(seed);
        random_life(rig, dice, 1500);
        rig.settle();
        if (::testing::Test::HasFailure()) return;
    }
}

// Classes in another order and number, other limits: who mixed them up would resend what must not run twice.
Settings reshuffled(Dice& dice) {
    Settings s = mixed(dice.below(2));
    for (std::size_t i = s.classes.size(); i > 1; --i)
        std::swap(s.classes[i - 1], s.classes[dice.below(static_cast<std::uint32_t>(i))]);
    s.classes.resize(1 + dice.below(static_cast<std::uint32_t>(s.classes.size())));
    s.max_attempts = 1 + dice.below(5);
    s.cancel_allowed = dice.below(2);
    s.probes_allowed = dice.below(2);
    s.sidecar_count = 1 + dice.below(100);
    s.sidecar_index = dice.below(100);
    if (dice.below(2)) s.local_zone = dice.below(3);
    s.fees.cross_zone = dice.below(2) * 0.1;
    return s;
}

TEST(Rules, HoldForEachRequestByTheSettingsItBeganWith) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        Rig rig(mixed(seed % 2), seed);
        Dice dice(seed);
        for (int round = 0; round < 60; ++round) {
            random_life(rig, dice, 25);
            const SettingsPtr before = rig.current;
            rig.change(reshuffled(dice));
            for (std::uint32_t i = 0; i < before->classes.size(); ++i) rig.request_by(before, i, 500);
        }
        rig.settle();
        if (::testing::Test::HasFailure()) return;
    }
}

TEST(Recall, ARemovalGoesOnInTheNextLife) {
    Rig rig(mixed(false), 4);
    rig.list(EndpointUpdateKind::full, make_servers(4));
    for (int i = 0; i < 200; ++i) {
        const RequestId id = rig.request(0);
        while (rig.out(id)) rig.end(id, rig.where(id) == 1 ? Outcome::server_error : Outcome::success, 5);
    }
    std::vector<EndpointSnapshot> learnt = rig.balancer.snapshot();
    ASSERT_EQ(learnt.at(0).endpoint, 1U);
    EXPECT_GT(learnt[0].ejected_for, 0);
    EXPECT_LE(learnt[0].ejected_for, 10000);
    learnt[0].ejected_for = 1e9;  // whatever the disk says: no longer than a backoff
    Rig next(mixed(false), 5);
    next.list(EndpointUpdateKind::cached, make_servers(4));
    next.give(StateRestored{learnt});
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
    next.give(StateRestored{learnt});
    EXPECT_EQ(next.balancer.usage().ejected, 1U) << "fresh as it is, it may be told of again";
    next.give(StateRestored{{{2, 5000, 0}, {77, 5000, 0}}});
    EXPECT_EQ(next.balancer.usage().ejected, 1U) << "what this life has seen goes before";
}

TEST(Recall, CanNotEmptyThePool) {
    Rig rig(mixed(false), 4);
    rig.list(EndpointUpdateKind::cached, make_servers(6));
    std::vector<EndpointSnapshot> all;
    for (EndpointId s = 1; s <= 6; ++s) all.push_back({s, 9000, -3});
    rig.give(StateRestored{all});
    EXPECT_EQ(rig.balancer.usage().ejected, 3U);
    EXPECT_TRUE(rig.out(rig.request(0)));
}

TEST(Change, WhatWasLearntAboutServersStays) {
    Rig rig(mixed(false), 4);
    rig.list(EndpointUpdateKind::full, make_servers(4));
    for (int i = 0; i < 200; ++i) {
        const RequestId id = rig.request(0);
        while (rig.out(id)) rig.end(id, rig.where(id) == 1 ? Outcome::server_error : Outcome::success, 5);
    }
    ASSERT_EQ(rig.balancer.usage().ejected, 1U);
    Settings other = mixed(true);
    std::reverse(other.classes.begin(), other.classes.end());
    rig.change(other);
    EXPECT_EQ(rig.balancer.usage().ejected, 1U);
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request(4);
        EXPECT_NE(rig.where(id), 1U) << "it is still out of the pool";
        rig.end(id, Outcome::success, 5);
    }
}

TEST(Change, SettingsThatMakeNoSenseHaveNoEffect) {
    Rig rig(mixed(false), 4);
    rig.list(EndpointUpdateKind::full, make_servers(4));
    const SettingsPtr good = rig.current;
    Settings bad = mixed(false);
    bad.classes[0].latency_objective = -1;
    rig.give(SettingsChanged{std::make_shared<const Settings>(bad)});
    rig.give(SettingsChanged{});
    const RequestId id = rig.request(0);
    rig.end(id, Outcome::server_error, 5);
    EXPECT_EQ(rig.sends(id), 2U) << "as before: repeatable, and so sent again";
    EXPECT_EQ(rig.current, good);
}

// A change counts as told 6 s after discovery had it and could be reached, however long it could not. So
// however often calls for the list fail, half of that is left to the next call.
TEST(Rule3, PausesBetweenFailedCallsKeepWithinTheTimeForAsking) {
    for (const Millis within : {100.0, 1000.0, 10000.0, 0.0})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Settings settings = mixed(false);
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

TEST(Change, ListsAreAskedForOnceThatIsTheRule) {
    Rig rig(mixed(false), 4);
    Settings asked = mixed(false);
    asked.polled_discovery = true;
    rig.change(asked);
    EXPECT_EQ(rig.count<SubscribeEndpoints>(), 1);
    rig.change(asked);
    EXPECT_EQ(rig.count<SubscribeEndpoints>(), 0) << "it is subscribed already";
}

TEST(Rules, SameEventsGiveTheSameActions) {
    std::vector<std::string> traces;
    for (int run = 0; run < 2; ++run) {
        Rig rig(mixed(false), 5);
        Dice dice(5);
        std::string trace;
        rig.list(EndpointUpdateKind::full, make_servers(6));
        for (int i = 0; i < 500; ++i) {
            const RequestId id = rig.request(dice.below(5));
            trace += rig.out(id) ? std::to_string(rig.where(id)) + "," : "-,";
            end_random(rig, dice);
            rig.now += 1;
            if (i % 50 == 49) rig.change(reshuffled(dice));
        }
        traces.push_back(trace);
    }
    EXPECT_EQ(traces[0], traces[1]);
}

TEST(Rules, MemoryStaysBoundedOverALongLife) {
    Rig rig(mixed(false), 3);
    Dice dice(3);
    EndpointId fresh = 100;
    for (int round = 0; round < 60; ++round) {
        random_life(rig, dice, 300);
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

Rig three(RequestClass kind, std::uint64_t seed = 1) {
    Rig rig(make_settings({kind}), seed);
    rig.list(EndpointUpdateKind::full, make_servers(3));
    return rig;
}

TEST(Rule2, OnceIsNeverSentAgainNorRefusedAfterAPossibleRun) {
    for (const Outcome outcome : {Outcome::server_error, Outcome::timeout, Outcome::connection_reset}) {
        Rig rig = three(make_class(Idempotency::not_idempotent));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.sends(id), 1U);
        EXPECT_EQ(rig.requests.at(id).answers, 1);
        EXPECT_FALSE(rig.requests.at(id).refused);
    }
}

TEST(Rule2, UnknownClassIsTreatedAsOnce) {
    Rig rig = three(make_class(Idempotency::idempotent));
    const RequestId id = rig.request(9);
    rig.end(id, Outcome::server_error);
    EXPECT_EQ(rig.sends(id), 1U);
    EXPECT_FALSE(rig.requests.at(id).refused);
}

TEST(Rule2, RepeatableIsSentAgainAfterAnything) {
    for (const Outcome outcome : {Outcome::server_error, Outcome::connection_reset, Outcome::overloaded}) {
        Rig rig = three(make_class(Idempotency::idempotent));
        const RequestId id = rig.request();
        rig.end(id, outcome);
        EXPECT_EQ(rig.sends(id), 2U);
    }
}

TEST(Rule2, ByKeyStaysInItsZoneAndWindow) {
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
TEST(Rule2, ByKeyIsNotRepeatedInTheLastMomentOfItsWindow) {
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

TEST(Rule2, ByKeyZoneIsNotRefusedAfterAPossibleRunButByKeyAllIs) {
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

TEST(Rule3, NothingIsSentToADrainingServer) {
    Rig rig = three(make_class(Idempotency::idempotent));
    rig.list(EndpointUpdateKind::incremental, {{1, 0, 0, EndpointState::draining, 0}});
    for (int i = 0; i < 50; ++i) {
        const RequestId id = rig.request();
        EXPECT_NE(rig.where(id), 1U);
        rig.end(id, Outcome::success);
    }
}

TEST(Rule1, AHeldRequestIsAnsweredInTime) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    const RequestId id = rig.request(0, 50);
    EXPECT_EQ(rig.requests.at(id).answers, 0);
    rig.settle();
    EXPECT_EQ(rig.requests.at(id).answers, 1);
    EXPECT_TRUE(rig.requests.at(id).refused) << "it never went out, so trying again is harmless";
}

}  // namespace
}  // namespace ochregrade::test
