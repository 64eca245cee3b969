// Probe races of one sidecar with low traffic, within the balancer; no server is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// A sidecar with low traffic (twenty servers, a request every 700 ms) whose last attempts have come too late.
Rig sidecar_with_failures(bool probes_allowed = true, double fee = 0) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.probes_allowed = probes_allowed;
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

std::vector<EndpointId> probed_endpoints(const Rig& rig) {
    std::vector<EndpointId> servers;
    for (const Action& a : rig.last)
        if (const auto* probe = std::get_if<SendProbe>(&a)) servers.push_back(probe->endpoint);
    return servers;
}

TEST(ProbeRace, TheFirstEndpointToAnswerGetsTheRequest) {
    Rig rig = sidecar_with_failures();
    const RequestId id = rig.request();
    const auto probed = probed_endpoints(rig);
    ASSERT_EQ(probed.size(), 2U);
    EXPECT_FALSE(rig.out(id));
    rig.give(ProbeEnded{probed[1], Outcome::success, 2});
    ASSERT_TRUE(rig.out(id));
    EXPECT_EQ(rig.where(id), probed[1]);
    rig.give(ProbeEnded{probed[0], Outcome::success, 3});
    EXPECT_EQ(rig.sends(id), 1U) << "the later answer sends nothing";
    rig.end(id, Outcome::success);
}

TEST(ProbeRace, WithoutAnAnswerTheRequestIsStillSent) {
    Rig rig = sidecar_with_failures();
    const RequestId id = rig.request();
    for (int round = 0; round < 5 && !rig.out(id); ++round)
        for (const EndpointId s : probed_endpoints(rig)) rig.give(ProbeEnded{s, Outcome::timeout, 100});
    EXPECT_TRUE(rig.out(id));
    rig.end(id, Outcome::success);
}

TEST(ProbeRace, ProbesThatNeverEndDoNotDelayTheAnswerPastTheDeadline) {
    Rig rig = sidecar_with_failures();
    const RequestId id = rig.request();
    EXPECT_FALSE(rig.out(id));
    rig.settle();
    EXPECT_TRUE(rig.requests.at(id).refused) << "it never went out";
}

// The servers probed go before they answer: the request must not wait for them until its deadline.
TEST(ProbeRace, EndpointsGoneBeforeTheyAnswerAreReplaced) {
    Rig rig = sidecar_with_failures();
    const RequestId id = rig.request();
    const auto probed = probed_endpoints(rig);
    ASSERT_EQ(probed.size(), 2U);
    rig.list(EndpointUpdateKind::incremental,
             {{probed[0], 0, 0, EndpointState::gone, 0}, {probed[1], 0, 0, EndpointState::gone, 0}});
    for (const EndpointId s : probed_endpoints(rig))
        if (!rig.out(id)) rig.give(ProbeEnded{s, Outcome::success, 2});
    ASSERT_TRUE(rig.out(id));
    rig.end(id, Outcome::success);
}

TEST(ProbeRace, NoProbesWhereTurnedOffOrWithoutFailuresOrWithMuchTraffic) {
    {
        Rig rig = sidecar_with_failures(false);
        rig.request();
        EXPECT_TRUE(probed_endpoints(rig).empty());
    }
    for (const Millis interarrival : {700.0, 1.0}) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.probes_allowed = true;
        Rig rig(s);
        rig.list(EndpointUpdateKind::full, make_servers(20));
        for (int i = 0; i < 60; ++i) {
            rig.pass(interarrival);
            const RequestId id = rig.request();
            EXPECT_TRUE(probed_endpoints(rig).empty());
            rig.end(id, interarrival < 10 && i % 10 == 0 ? Outcome::connection_reset : Outcome::success, 1);
        }
    }
}

TEST(ProbeRace, IsRunOnlyWhereItSavesMoreThanItsFee) {
    for (const auto& [fee, is_run] : {std::pair{0.01, true}, {0.08, false}}) {
        Rig rig = sidecar_with_failures(true, fee);
        const RequestId id = rig.request();
        EXPECT_EQ(!probed_endpoints(rig).empty(), is_run) << fee;
        EXPECT_EQ(!rig.out(id), is_run) << "it goes out at once instead";
    }
}

TEST(ProbeRace, ACollapsedPoolIsNotProbed) {
    Rig rig = sidecar_with_failures();
    for (int i = 0; i < 12; ++i) {
        rig.pass(700);
        const RequestId id = rig.request();
        for (const EndpointId s : probed_endpoints(rig))
            if (!rig.out(id)) rig.give(ProbeEnded{s, Outcome::success, 1});
        if (rig.out(id)) rig.end(id, Outcome::connection_reset, 10);
    }
    rig.pass(700);
    rig.request();
    EXPECT_TRUE(probed_endpoints(rig).empty());
}

TEST(ProbeRace, AnEndpointDrainedMeanwhileGetsNoRequest) {
    Rig rig = sidecar_with_failures();
    const RequestId id = rig.request();
    const auto probed = probed_endpoints(rig);
    ASSERT_EQ(probed.size(), 2U);
    rig.list(EndpointUpdateKind::incremental, {{probed[0], 0, 0, EndpointState::draining, 0}});
    rig.give(ProbeEnded{probed[0], Outcome::success, 2});
    EXPECT_FALSE(rig.out(id));
    rig.give(ProbeEnded{probed[1], Outcome::success, 3});
    EXPECT_TRUE(rig.out(id));
    rig.end(id, Outcome::success);
}

}  // namespace
}  // namespace ochregrade::test
