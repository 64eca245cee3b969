// What many sidecars do together: several balancers are given events by hand; no server is modelled.
#include <cmath>

#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// Many light sidecars, each with the same warm servers and one that has just started; each has a few
// requests, answered at once. Returns what share of a warm server's sends the cold one got.
double cold_part(std::uint32_t sidecars, int requests_each, EndpointId warm, Millis age) {
    double cold = 0, others = 0;
    for (std::uint32_t n = 0; n < sidecars; ++n) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.sidecar_count = sidecars;
        Rig rig(s, n + 1);
        rig.list(EndpointUpdateKind::full, make_servers(warm));
        rig.list(EndpointUpdateKind::incremental, {{warm + 1, 0, 0, EndpointState::serving, rig.now - age}});
        for (int i = 0; i < requests_each; ++i) {
            const RequestId id = rig.request();
            if (!rig.out(id)) continue;
            (rig.where(id) == warm + 1 ? cold : others) += 1;
            rig.end(id, Outcome::success, 0.25);  // so that it does not grow warm meanwhile
        }
    }
    return cold / (others / warm);
}

TEST(Fleet, ColdFeedIsAShareOfAWarmServersFromOneSidecarToAThousand) {
    // 0.2 of its capacity at first, and no more than twice that from winning ties.
    for (const auto& [sidecars, each] : {std::pair{1u, 4000}, {30u, 150}, {1000u, 4}}) {
        const double part = cold_part(sidecars, each, 40, 0);
        EXPECT_GT(part, 0.1) << sidecars;
        EXPECT_LT(part, 0.6) << sidecars;
    }
}

TEST(Fleet, AColdServerIsNoWayRoundAFullRoom) {
    // Slow answers have shut the room: what finds none must not go to the one cold server instead.
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    rig.list(EndpointUpdateKind::full, make_servers(4));
    for (int i = 0; i < 60; ++i) rig.serve(rig.burst(40, 5000), 600);
    rig.list(EndpointUpdateKind::incremental, {{9, 0, 0, EndpointState::serving, rig.now}});
    const auto ids = rig.burst(200, 5000);
    const auto cold = std::count_if(ids.begin(), ids.end(),
                                    [&](RequestId id) { return rig.out(id) && rig.where(id) == 9; });
    EXPECT_LT(rig.still_out(ids), 100);
    EXPECT_LT(cold, rig.still_out(ids) / 2);
}

TEST(Fleet, LightSidecarsDrawServersByTheirRegisteredSize) {
    // Every queue of their own is empty, so nothing but the draw can spare the small servers.
    std::map<EndpointId, double> load;
    for (std::uint64_t n = 1; n <= 1000; ++n) {
        Settings settings = make_settings({make_class(Idempotency::not_idempotent)});
        settings.sidecar_count = 1000, settings.sidecar_index = static_cast<std::uint32_t>(n - 1);
        Rig rig(settings, n);
        auto servers = make_servers(20);
        for (Endpoint& s : servers) s.capacity_weight = s.id % 3 == 0 ? 3 : 1;
        rig.list(EndpointUpdateKind::full, servers);
        for (int i = 0; i < 4; ++i) {
            const RequestId id = rig.request();
            load[rig.where(id) % 3 == 0] += 1;
            rig.end(id, Outcome::success, 0);
        }
    }
    EXPECT_NEAR((load[true] / 6) / (load[false] / 14), 3, 0.5);
}

TEST(Fleet, UnitsThatMakeNoSenseCountAsOne) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    auto servers = make_servers(3);
    servers[0].capacity_weight = 0, servers[1].capacity_weight = -2,
    servers[2].capacity_weight = std::nan("");
    rig.list(EndpointUpdateKind::full, servers);
    std::set<EndpointId> met;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = rig.request();
        met.insert(rig.where(id));
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_EQ(met.size(), 3U);
}

// Whether the connection to the server is closed after an answer, with `servers` of them and a request every
// `gap`.
bool closes(EndpointId servers, Millis gap) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    rig.list(EndpointUpdateKind::full, make_servers(servers));
    int closed = 0;
    for (int i = 0; i < 60; ++i) {
        rig.pass(gap);
        rig.end(rig.request(), Outcome::success, 0);
        closed = rig.count<CloseIdleConnections>();
    }
    return closed > 0;
}

TEST(Fleet, LightSidecarsDoNotFillConnectionTablesAndBusyOnesKeepTheirs) {
    EXPECT_TRUE(closes(50, 500));
    EXPECT_FALSE(closes(50, 20));
    EXPECT_FALSE(closes(5, 500));
}

// ---- SendProbe race
// -----------------------------------------------------------------------------------------

// A light sidecar (twenty servers, a request every 700 ms) whose last attempts have come too late.
Rig troubled(bool may_probe = true, double fee = 0) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.probes_allowed = may_probe;
    s.fees.probe = fee;
    Rig rig(s);
    rig.list(EndpointUpdateKind::full, make_servers(20));
    for (int i = 0; i < 12; ++i) {
        rig.pass(700);
        const RequestId id = rig.request(0, 3000);
        for (const Action& a : std::vector<Action>(rig.last))
            if (const auto* probe = std::get_if<SendProbe>(&a))
                if (!rig.out(id)) rig.give(ProbeEnded{probe->endpoint, Outcome::success, 1});
        if (rig.out(id)) rig.end(id, i < 10 ? Outcome::success : Outcome::connection_reset, 10);
    }
    rig.pass(700);
    return rig;
}

std::vector<EndpointId> probed(const Rig& rig) {
    std::vector<EndpointId> servers;
    for (const Action& a : rig.last)
        if (const auto* probe = std::get_if<SendProbe>(&a)) servers.push_back(probe->endpoint);
    return servers;
}

TEST(Race, TheServerThatAnswersItsProbeFirstGetsTheRequest) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    const auto asked = probed(rig);
    ASSERT_EQ(asked.size(), 2U);
    EXPECT_FALSE(rig.out(id));
    rig.give(ProbeEnded{asked[1], Outcome::success, 2});
    ASSERT_TRUE(rig.out(id));
    EXPECT_EQ(rig.where(id), asked[1]);
    rig.give(ProbeEnded{asked[0], Outcome::success, 3});
    EXPECT_EQ(rig.sends(id), 1U) << "the later answer sends nothing";
    rig.end(id, Outcome::success);
}

TEST(Race, WhereNoProbeIsAnsweredTheRequestStillGoesOut) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    for (int round = 0; round < 5 && !rig.out(id); ++round)
        for (const EndpointId s : probed(rig)) rig.give(ProbeEnded{s, Outcome::timeout, 100});
    EXPECT_TRUE(rig.out(id));
    rig.end(id, Outcome::success);
}

TEST(Race, ProbesThatNeverEndLeaveARequestAnsweredInTime) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    EXPECT_FALSE(rig.out(id));
    rig.settle();
    EXPECT_TRUE(rig.requests.at(id).refused) << "it never went out";
}

// The servers asked go before they answer: the request must not wait for them until its deadline.
TEST(Race, ServersThatGoUnaskedLeaveTheRequestToOthers) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    const auto asked = probed(rig);
    ASSERT_EQ(asked.size(), 2U);
    rig.list(EndpointUpdateKind::incremental,
             {{asked[0], 0, 0, EndpointState::gone, 0}, {asked[1], 0, 0, EndpointState::gone, 0}});
    for (const EndpointId s : probed(rig))
        if (!rig.out(id)) rig.give(ProbeEnded{s, Outcome::success, 2});
    ASSERT_TRUE(rig.out(id));
    rig.end(id, Outcome::success);
}

TEST(Race, NoProbesWhereNotAllowedNorWhileAllComesInTimeNorAtABusySidecar) {
    {
        Rig rig = troubled(false);
        rig.request();
        EXPECT_TRUE(probed(rig).empty());
    }
    for (const Millis gap : {700.0, 1.0}) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.probes_allowed = true;
        Rig rig(s);
        rig.list(EndpointUpdateKind::full, make_servers(20));
        for (int i = 0; i < 60; ++i) {
            rig.pass(gap);
            const RequestId id = rig.request();
            EXPECT_TRUE(probed(rig).empty());
            rig.end(id, gap < 10 && i % 10 == 0 ? Outcome::connection_reset : Outcome::success, 1);
        }
    }
}

TEST(Race, IsHeldOnlyWhereItSavesMoreThanItsFee) {
    for (const auto& [fee, held] : {std::pair{0.01, true}, {0.08, false}}) {
        Rig rig = troubled(true, fee);
        const RequestId id = rig.request();
        EXPECT_EQ(!probed(rig).empty(), held) << fee;
        EXPECT_EQ(!rig.out(id), held) << "it goes out at once instead";
    }
}

TEST(Race, ACollapsedPoolIsNotProbed) {
    Rig rig = troubled();
    for (int i = 0; i < 12; ++i) {
        rig.pass(700);
        const RequestId id = rig.request();
        for (const EndpointId s : probed(rig))
            if (!rig.out(id)) rig.give(ProbeEnded{s, Outcome::success, 1});
        if (rig.out(id)) rig.end(id, Outcome::connection_reset, 10);
    }
    rig.pass(700);
    rig.request();
    EXPECT_TRUE(probed(rig).empty());
}

TEST(Race, AServerThatDrainedMeanwhileGetsNothing) {
    Rig rig = troubled();
    const RequestId id = rig.request();
    const auto asked = probed(rig);
    ASSERT_EQ(asked.size(), 2U);
    rig.list(EndpointUpdateKind::incremental, {{asked[0], 0, 0, EndpointState::draining, 0}});
    rig.give(ProbeEnded{asked[0], Outcome::success, 2});
    EXPECT_FALSE(rig.out(id));
    rig.give(ProbeEnded{asked[1], Outcome::success, 3});
    EXPECT_TRUE(rig.out(id));
    rig.end(id, Outcome::success);
}

Rig pool_of(EndpointId count) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    rig.list(EndpointUpdateKind::full, make_servers(count));
    return rig;
}

// ---- Gossip ---------------------------------------------------------------------------------------------

// A light sidecar among so many whose requests all fail; returns the messages it tells, by peer.
std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> told(bool may_tell, Outcome outcome,
                                                                      std::size_t length = 4,
                                                                      std::uint32_t siblings = 160) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.gossip_allowed = may_tell;
    s.sidecar_count = siblings;
    s.sidecar_index = 7;
    Rig rig(s);
    rig.list(EndpointUpdateKind::full, make_servers(20));
    std::vector<std::pair<std::uint32_t, std::vector<std::uint8_t>>> messages;
    for (int i = 0; i < 30; ++i) {
        rig.pass(700);
        const RequestId id = rig.request();
        if (!rig.out(id)) continue;
        rig.end(id, outcome, 10);
        for (const Action& a : rig.last)
            if (const auto* tell = std::get_if<SendGossip>(&a); tell && tell->bytes.size() == length)
                messages.emplace_back(tell->to.value(), tell->bytes);
    }
    return messages;
}

TEST(Gossip, FailuresAreToldToAFewOtherPeersAndSuccessesToNone) {
    const auto failed = told(true, Outcome::connection_reset);
    EXPECT_GT(failed.size(), 20U);
    EXPECT_LT(failed.size(), 30U * 160 / 3);
    for (const auto& [peer, bytes] : failed) {
        EXPECT_LT(peer, 160U);
        EXPECT_NE(peer, 7U) << "not itself";
        EXPECT_EQ(bytes.size(), 4U);
    }
    EXPECT_TRUE(told(true, Outcome::success).empty());
    EXPECT_TRUE(told(false, Outcome::connection_reset).empty()) << "where it is not allowed";
}

// Each sidecar sends and gets as many messages in a fleet of thousands as in one of hundreds.
TEST(Gossip, CostsASidecarNoMoreInALargerFleet) {
    constexpr std::size_t kFailureBytes = 4, kPulseBytes = 1;
    constexpr std::uint32_t kHundreds = 350, kThousands = 3500;
    const auto failures = told(true, Outcome::connection_reset, kFailureBytes, kHundreds).size();
    EXPECT_LE(told(true, Outcome::connection_reset, kFailureBytes, kThousands).size(), failures * 11 / 10);
    const auto pulses = told(true, Outcome::success, kPulseBytes, kHundreds).size();
    EXPECT_LE(told(true, Outcome::success, kPulseBytes, kThousands).size(), pulses * 11 / 10);
}

TEST(Gossip, HowLongAnswersTakeIsToldToFewerEveryTenth) {
    const auto pulses = told(true, Outcome::success, 1);
    EXPECT_GT(pulses.size(), 3U * 5);
    EXPECT_LE(pulses.size(), 3U * 10);
    for (const auto& [peer, bytes] : pulses)
        EXPECT_EQ(bytes.at(0), 2) << "10 ms of an aim of 400, in hundredths";
    EXPECT_TRUE(told(false, Outcome::success, 1).empty()) << "where it is not allowed";
}

// A request now and then, as one of many sidecars gets them: no window fills within a backoff.
constexpr Millis kThin = 100;

int sent_to(Rig& rig, EndpointId server, int requests) {
    int met = 0;
    for (int i = 0; i < requests; ++i) {
        rig.pass(kThin);
        const RequestId id = rig.request();
        met += rig.where(id) == server;
        rig.end(id, Outcome::success, 0);
    }
    return met;
}

Rig warned(EndpointId count, EndpointId server, int messages) {
    Rig rig = pool_of(count);
    sent_to(rig, 0, 5);
    for (int i = 0; i < messages; ++i)
        rig.give(GossipReceived{3, {0, 0, 0, static_cast<std::uint8_t>(server)}});
    return rig;
}

TEST(Gossip, ItBreaksTiesAgainstAServerAndIsForgotten) {
    Rig rig = warned(10, 4, 8);
    EXPECT_EQ(sent_to(rig, 4, 100), 0) << "of two, the other one wins";
    rig.pass(3600000);
    EXPECT_GT(sent_to(rig, 4, 200), 0);
}

TEST(Gossip, AFailureNowAndThenChangesNothing) {
    Rig rig = warned(10, 4, 1);
    EXPECT_GT(sent_to(rig, 4, 100), 0);
}

// A server that answers nothing has the shortest queues: by queue alone it would be picked the more.
TEST(Gossip, ADoubtedServerIsDrawnSeldom) {
    const auto held = [](int messages) {
        Rig rig = warned(10, 4, messages);
        std::map<EndpointId, int> out;
        for (int i = 0; i < 60; ++i) rig.pass(kThin), out[rig.where(rig.request(0, 60000))] += 1;
        return out[4];
    };
    EXPECT_GE(held(0), 4);
    EXPECT_LE(held(8), 2);
}

// Ten answers of one's own are mostly chance: what the others' answers show closes the room, and opens it.
TEST(Gossip, PeersAnswersShowACrowd) {
    const auto let_out = [](std::uint8_t peers_say) {
        Rig rig = warned(10, 4, 0);
        for (int i = 0; i < 40; ++i) {
            rig.pass(kThin);
            for (int m = 0; m < 10; ++m) rig.give(GossipReceived{3, {peers_say}});
            const RequestId id = rig.request(0, 60000);
            if (rig.out(id)) rig.end(id, Outcome::success, 0);
        }
        return rig.still_out(rig.burst(40, 60000));
    };
    EXPECT_EQ(let_out(20), 40);
    EXPECT_LT(let_out(120), 15);
}

// Where a window fills before a backoff ends, it knows better than hearsay.
TEST(Gossip, ABusySidecarGoesByItsOwnWindows) {
    Rig rig = warned(10, 4, 8);
    int met = 0;
    for (int i = 0; i < 300; ++i) {
        rig.pass(1);
        const RequestId id = rig.request();
        if (i >= 100) met += rig.where(id) == 4;
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_GT(met, 5);
}

TEST(Gossip, ALoudPeerEjectsNobodyAndMalformedMessagesDoNothing) {
    Rig rig = pool_of(10);
    sent_to(rig, 0, 5);
    for (int i = 0; i < 1000; ++i)
        for (std::uint8_t s = 1; s <= 10; ++s) rig.give(GossipReceived{3, {0, 0, 0, s}});
    rig.give(GossipReceived{3, {}});
    rig.give(GossipReceived{3, {4}});
    rig.give(GossipReceived{3, {0, 0, 0, 0, 4}});
    rig.give(GossipReceived{3, std::vector<std::uint8_t>(256, 255)});
    EXPECT_EQ(rig.removals(), 0);
    std::set<EndpointId> met;
    for (int i = 0; i < 300; ++i) {
        rig.pass(kThin);
        const RequestId id = rig.request();
        ASSERT_TRUE(rig.out(id));
        met.insert(rig.where(id));
        rig.end(id, Outcome::success, 0);
    }
    EXPECT_GE(met.size(), 9U) << "all doubted alike: all are used";
}

// How many of a burst go out just after the list has dropped to `left` of twenty servers.
int let_out_after_drop(EndpointId left) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100;
    Rig rig(s);
    rig.list(EndpointUpdateKind::full, make_servers(20));
    for (int i = 0; i < 60; ++i) {
        rig.pass(50);
        const RequestId id = rig.request(0, 60000);
        if (i >= 3) rig.end(id - 3, Outcome::success, 0);
    }
    rig.list(EndpointUpdateKind::full, make_servers(left));
    return rig.still_out(rig.burst(40, 60000));
}

TEST(Fleet, TheRoomShrinksWithThePoolBeforeAnyAnswerIsSlow) {
    EXPECT_EQ(let_out_after_drop(20), 40);
    EXPECT_LE(let_out_after_drop(10), 4) << "four were out at twenty servers";
}

// How many of a burst go out after this many of twenty servers have refused connections for 2 s, the list
// saying nothing; and, if they come up again, after a while more.
int let_out_after_refusals(EndpointId refusing, bool back) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100;
    Rig rig(s);
    rig.list(EndpointUpdateKind::full, make_servers(20));
    std::vector<RequestId> all;
    for (int i = 0; i < 400; ++i) {
        const bool down = i >= 60 && (i < 100 || !back);
        if (!back && i == 100) break;
        rig.pass(50);
        const RequestId id = rig.request(0, 60000);
        while (down && rig.out(id) && rig.where(id) <= refusing) rig.end(id, Outcome::connect_failure, 0);
        all.push_back(id);  // may be held, and go out later
        if (i >= 3 && rig.out(all[i - 3])) rig.end(all[i - 3], Outcome::success, 0);
    }
    return rig.still_out(rig.burst(40, 60000));
}

// A server whose connections do not come up leaves its load to the others seconds before the list tells.
TEST(Fleet, TheRoomShrinksWithServersThatRefuseConnections) {
    EXPECT_EQ(let_out_after_refusals(0, false), 40);
    EXPECT_LE(let_out_after_refusals(6, false), 1) << "three were out at twelve servers";
    EXPECT_GE(let_out_after_refusals(6, true), 4)
        << "and grows again, to twice what is used, when they are back";
}

// ---- Subset ---------------------------------------------------------------------------------------------

// The servers that one of a hundred sidecars asks, with sixty of them and a request every `gap`.
std::set<EndpointId> asked(std::uint32_t number, Millis gap, const std::set<EndpointId>& bad = {}) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100, s.sidecar_index = number;
    Rig rig(s, number + 1);
    rig.list(EndpointUpdateKind::full, make_servers(60));
    std::set<EndpointId> met;
    for (int i = 0; i < 600; ++i) {
        rig.pass(gap);
        const RequestId id = rig.request();
        if (i >= 100) met.insert(rig.where(id));
        rig.end(id, bad.count(rig.where(id)) > 0 ? Outcome::server_error : Outcome::success, 0);
    }
    return met;
}

TEST(Subset, IsAsLargeAsTheOwnRateKeepsWarm) {
    EXPECT_NEAR(static_cast<double>(asked(7, 30).size()), 20, 2);
    EXPECT_NEAR(static_cast<double>(asked(7, 1000).size()), 12, 1) << "never fewer";
    EXPECT_GT(asked(7, 3).size(), 57U) << "a busy one uses all";
}

TEST(Subset, AllServersAreInAsMany) {
    std::map<EndpointId, int> uses;
    for (std::uint32_t n = 0; n < 100; ++n)
        for (const EndpointId s : asked(n, 30)) uses[s] += 1;
    ASSERT_EQ(uses.size(), 60U);
    for (const auto& [s, n] : uses) EXPECT_NEAR(n, 100.0 * 20 / 60, 7) << s;
}

TEST(Subset, WhatIsRemovedIsMadeUpFor) {
    const std::set<EndpointId> before = asked(0, 30);
    const std::set<EndpointId> bad(before.begin(), std::next(before.begin(), 2));
    std::size_t good = 0;
    for (const EndpointId s : asked(0, 30, bad)) good += bad.count(s) == 0;
    EXPECT_GE(good, before.size()) << "others take their place";
}

// ---- Shedding -------------------------------------------------------------------------------------------

TEST(Fleet, LightSidecarsShedByLotWhenThePoolIsFull) {
    int sent = 0, asked = 0;
    for (std::uint64_t n = 1; n <= 200; ++n) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.sidecar_count = 1000;
        Rig rig(s, n);
        rig.list(EndpointUpdateKind::full, make_servers(20));
        for (int i = 0; i < 40; ++i) {
            rig.pass(500);
            const RequestId id = rig.request();
            while (rig.out(id)) rig.end(id, Outcome::overloaded, 1);
            if (i >= 30) ++asked, sent += rig.sends(id) > 0;
        }
    }
    EXPECT_LT(sent, asked / 2);
    EXPECT_GT(sent, 0) << "never shut altogether";
}

}  // namespace
}  // namespace ochregrade::test
