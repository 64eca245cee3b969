// Tests of probe races in the balancer of one sidecar with low traffic; no endpoint is modelled.
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// A sidecar with low traffic (twenty endpoints, a request every 700 ms) whose last two attempts have failed.
BalancerFixture sidecar_with_failures(bool probes_allowed = true, double fee = 0) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.probes_allowed = probes_allowed;
    s.fees.probe = fee;
    BalancerFixture fixture(s);
    fixture.list(EndpointUpdateKind::full, make_endpoints(20));
    for (int i = 0; i < 12; ++i) {
        fixture.advance(700);
        const RequestId id = fixture.request(0, 3000);
        for (const Action& a : std::vector<Action>(fixture.last))
            if (const auto* probe = std::get_if<SendProbe>(&a))
                if (!fixture.in_flight(id))
                    fixture.handle_event(ProbeEnded{probe->endpoint, Outcome::success, 1});
        if (fixture.in_flight(id)) fixture.end(id, i < 10 ? Outcome::success : Outcome::connection_reset, 10);
    }
    fixture.advance(700);
    return fixture;
}

std::vector<EndpointId> probed_endpoints(const BalancerFixture& fixture) {
    std::vector<EndpointId> servers;
    for (const Action& a : fixture.last)
        if (const auto* probe = std::get_if<SendProbe>(&a)) servers.push_back(probe->endpoint);
    return servers;
}

TEST(ProbeRace, TheFirstEndpointToRespondGetsTheRequest) {
    BalancerFixture fixture = sidecar_with_failures();
    const RequestId id = fixture.request();
    const auto probed = probed_endpoints(fixture);
    ASSERT_EQ(probed.size(), 2U);
    EXPECT_FALSE(fixture.in_flight(id));
    fixture.handle_event(ProbeEnded{probed[1], Outcome::success, 2});
    ASSERT_TRUE(fixture.in_flight(id));
    EXPECT_EQ(fixture.endpoint_of(id), probed[1]);
    fixture.handle_event(ProbeEnded{probed[0], Outcome::success, 3});
    EXPECT_EQ(fixture.attempt_count(id), 1U) << "the later probe response sends no attempt";
    fixture.end(id, Outcome::success);
}

TEST(ProbeRace, WithoutAProbeResponseTheRequestIsStillSent) {
    BalancerFixture fixture = sidecar_with_failures();
    const RequestId id = fixture.request();
    for (int round = 0; round < 5 && !fixture.in_flight(id); ++round)
        for (const EndpointId s : probed_endpoints(fixture))
            fixture.handle_event(ProbeEnded{s, Outcome::timeout, 100});
    EXPECT_TRUE(fixture.in_flight(id));
    fixture.end(id, Outcome::success);
}

TEST(ProbeRace, ProbesThatNeverEndDoNotDelayTheFinalResponsePastTheDeadline) {
    BalancerFixture fixture = sidecar_with_failures();
    const RequestId id = fixture.request();
    EXPECT_FALSE(fixture.in_flight(id));
    fixture.finish_all();
    EXPECT_TRUE(fixture.requests.at(id).rejected) << "the request was never sent";
}

// Both probed endpoints are removed before they respond. Their probes never end, and the request must not
// wait for these probes until its deadline.
TEST(ProbeRace, EndpointsRemovedBeforeTheyRespondAreReplaced) {
    BalancerFixture fixture = sidecar_with_failures();
    const RequestId id = fixture.request();
    const auto probed = probed_endpoints(fixture);
    ASSERT_EQ(probed.size(), 2U);
    fixture.list(EndpointUpdateKind::incremental, {{probed[0], 0, 0, EndpointState::removed, 0},
                                                   {probed[1], 0, 0, EndpointState::removed, 0}});
    for (const EndpointId s : probed_endpoints(fixture))
        if (!fixture.in_flight(id)) fixture.handle_event(ProbeEnded{s, Outcome::success, 2});
    ASSERT_TRUE(fixture.in_flight(id));
    fixture.end(id, Outcome::success);
}

TEST(ProbeRace, NoProbesWhereTurnedOffOrWithoutFailuresOrWithMuchTraffic) {
    {
        BalancerFixture fixture = sidecar_with_failures(false);
        fixture.request();
        EXPECT_TRUE(probed_endpoints(fixture).empty());
    }
    for (const Millis interarrival : {700.0, 1.0}) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.probes_allowed = true;
        BalancerFixture fixture(s);
        fixture.list(EndpointUpdateKind::full, make_endpoints(20));
        for (int i = 0; i < 60; ++i) {
            fixture.advance(interarrival);
            const RequestId id = fixture.request();
            EXPECT_TRUE(probed_endpoints(fixture).empty());
            fixture.end(id, interarrival < 10 && i % 10 == 0 ? Outcome::connection_reset : Outcome::success,
                        1);
        }
    }
}

TEST(ProbeRace, IsRunOnlyWhereItSavesMoreThanItsFee) {
    for (const auto& [fee, is_run] : {std::pair{0.01, true}, {0.08, false}}) {
        BalancerFixture fixture = sidecar_with_failures(true, fee);
        const RequestId id = fixture.request();
        EXPECT_EQ(!probed_endpoints(fixture).empty(), is_run) << fee;
        EXPECT_EQ(!fixture.in_flight(id), is_run) << "without a race the request is sent at once";
    }
}

TEST(ProbeRace, ACollapsedPoolIsNotProbed) {
    BalancerFixture fixture = sidecar_with_failures();
    for (int i = 0; i < 12; ++i) {
        fixture.advance(700);
        const RequestId id = fixture.request();
        for (const EndpointId s : probed_endpoints(fixture))
            if (!fixture.in_flight(id)) fixture.handle_event(ProbeEnded{s, Outcome::success, 1});
        if (fixture.in_flight(id)) fixture.end(id, Outcome::connection_reset, 10);
    }
    fixture.advance(700);
    fixture.request();
    EXPECT_TRUE(probed_endpoints(fixture).empty());
}

TEST(ProbeRace, AnEndpointThatDrainsDuringTheRaceGetsNoRequest) {
    BalancerFixture fixture = sidecar_with_failures();
    const RequestId id = fixture.request();
    const auto probed = probed_endpoints(fixture);
    ASSERT_EQ(probed.size(), 2U);
    fixture.list(EndpointUpdateKind::incremental, {{probed[0], 0, 0, EndpointState::draining, 0}});
    fixture.handle_event(ProbeEnded{probed[0], Outcome::success, 2});
    EXPECT_FALSE(fixture.in_flight(id));
    fixture.handle_event(ProbeEnded{probed[1], Outcome::success, 3});
    EXPECT_TRUE(fixture.in_flight(id));
    fixture.end(id, Outcome::success);
}

}  // namespace
}  // namespace ochregrade::test
