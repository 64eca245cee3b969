// Tests of the combined behaviour of several sidecars: each test drives many balancers directly with events;
// no endpoint is modelled.
#include <cmath>

#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// All `sidecars` use the same `warm` endpoints and one cold endpoint, which started `age` ms ago. Each
// sidecar sends `requests_each` requests, which complete after 0.25 ms. Returns the number of attempts at the
// cold endpoint divided by the mean number of attempts at a warm endpoint.
double new_endpoint_share(std::uint32_t sidecars, int requests_each, EndpointId warm, Millis age) {
    double cold = 0, others = 0;
    for (std::uint32_t n = 0; n < sidecars; ++n) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.sidecar_count = sidecars;
        BalancerFixture fixture(s, n + 1);
        fixture.list(EndpointUpdateKind::full, make_endpoints(warm));
        fixture.list(EndpointUpdateKind::incremental,
                     {{warm + 1, 0, 0, EndpointState::serving, fixture.now - age}});
        for (int i = 0; i < requests_each; ++i) {
            const RequestId id = fixture.request();
            if (!fixture.in_flight(id)) continue;
            (fixture.endpoint_of(id) == warm + 1 ? cold : others) += 1;
            fixture.end(id, Outcome::success, 0.25);  // ms: short enough that the endpoint stays cold
        }
    }
    return cold / (others / warm);
}

TEST(SlowStart, TheShareHoldsFromOneSidecarToAThousand) {
    // The slow-start share is 0.2 at first. The cold endpoint may win ties between drawn endpoints, which at
    // most doubles its share to 0.4.
    for (const auto& [sidecars, each] : {std::pair{1u, 4000}, {30u, 150}, {1000u, 4}}) {
        const double part = new_endpoint_share(sidecars, each, 40, 0);
        EXPECT_GT(part, 0.1) << sidecars;
        EXPECT_LT(part, 0.6) << sidecars;
    }
}

TEST(SlowStart, ANewEndpointDoesNotBypassTheConcurrencyLimit) {
    // Slow responses have lowered the concurrency limit. Requests above the limit must not go to the cold
    // endpoint instead.
    BalancerFixture fixture(make_settings({make_class(Idempotency::not_idempotent)}));
    fixture.list(EndpointUpdateKind::full, make_endpoints(4));
    for (int i = 0; i < 60; ++i) fixture.complete_all(fixture.burst(40, 5000), 600);
    fixture.list(EndpointUpdateKind::incremental, {{9, 0, 0, EndpointState::serving, fixture.now}});
    const auto ids = fixture.burst(200, 5000);
    const auto cold = std::count_if(ids.begin(), ids.end(), [&](RequestId id) {
        return fixture.in_flight(id) && fixture.endpoint_of(id) == 9;
    });
    EXPECT_LT(fixture.count_in_flight(ids), 100);
    EXPECT_LT(cold, fixture.count_in_flight(ids) / 2);
}

TEST(EndpointSelection, LowTrafficSidecarsFollowTheCapacityWeight) {
    // No sidecar has an attempt in flight when it selects an endpoint, so that only the weighted draw can
    // protect endpoints of low capacity.
    std::map<EndpointId, double> load;
    for (std::uint64_t n = 1; n <= 1000; ++n) {
        Settings settings = make_settings({make_class(Idempotency::not_idempotent)});
        settings.sidecar_count = 1000, settings.sidecar_index = static_cast<std::uint32_t>(n - 1);
        BalancerFixture fixture(settings, n);
        auto servers = make_endpoints(20);
        for (Endpoint& s : servers) s.capacity_weight = s.id % 3 == 0 ? 3 : 1;
        fixture.list(EndpointUpdateKind::full, servers);
        for (int i = 0; i < 4; ++i) {
            const RequestId id = fixture.request();
            load[fixture.endpoint_of(id) % 3 == 0] += 1;
            fixture.end(id, Outcome::success, 0);
        }
    }
    EXPECT_NEAR((load[true] / 6) / (load[false] / 14), 3, 0.5);
}

TEST(EndpointSelection, AnInvalidCapacityWeightCountsAsOne) {
    BalancerFixture fixture(make_settings({make_class(Idempotency::not_idempotent)}));
    auto servers = make_endpoints(3);
    servers[0].capacity_weight = 0, servers[1].capacity_weight = -2,
    servers[2].capacity_weight = std::nan("");
    fixture.list(EndpointUpdateKind::full, servers);
    std::set<EndpointId> used;
    for (int i = 0; i < 60; ++i) {
        const RequestId id = fixture.request();
        used.insert(fixture.endpoint_of(id));
        fixture.end(id, Outcome::success, 0);
    }
    EXPECT_EQ(used.size(), 3U);
}

// Whether the balancer closes the idle connections to an endpoint after the last of 60 responses, with
// `servers` endpoints and a request every `interarrival` ms.
bool closes_idle_connections(EndpointId servers, Millis interarrival) {
    BalancerFixture fixture(make_settings({make_class(Idempotency::not_idempotent)}));
    fixture.list(EndpointUpdateKind::full, make_endpoints(servers));
    int closed = 0;
    for (int i = 0; i < 60; ++i) {
        fixture.advance(interarrival);
        fixture.end(fixture.request(), Outcome::success, 0);
        closed = fixture.count<CloseIdleConnections>();
    }
    return closed > 0;
}

TEST(IdleConnections, OnlyLowTrafficWithManyEndpointsClosesThem) {
    EXPECT_TRUE(closes_idle_connections(50, 500));
    EXPECT_FALSE(closes_idle_connections(50, 20));
    EXPECT_FALSE(closes_idle_connections(5, 500));
}

// The endpoint list shrinks from twenty endpoints to `left`, and a burst of 40 requests follows at once.
// Returns the number of requests of the burst that have an attempt in flight.
int admitted_after_list_drop(EndpointId left) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100;
    BalancerFixture fixture(s);
    fixture.list(EndpointUpdateKind::full, make_endpoints(20));
    for (int i = 0; i < 60; ++i) {
        fixture.advance(50);
        const RequestId id = fixture.request(0, 60000);
        if (i >= 3) fixture.end(id - 3, Outcome::success, 0);
    }
    fixture.list(EndpointUpdateKind::full, make_endpoints(left));
    return fixture.count_in_flight(fixture.burst(40, 60000));
}

TEST(AdmissionControl, TheLimitShrinksWithTheEndpointList) {
    EXPECT_EQ(admitted_after_list_drop(20), 40);
    EXPECT_LE(admitted_after_list_drop(10), 4) << "four attempts were in flight with twenty endpoints";
}

// The endpoints 1 to `refusing` of twenty listed endpoints refuse connections for 2 s. With `back`, they then
// accept connections again for 15 s. A burst of 40 requests follows. Returns the number of requests of the
// burst that have an attempt in flight.
int admitted_after_connect_failures(EndpointId refusing, bool back) {
    Settings s = make_settings({make_class(Idempotency::not_idempotent)});
    s.sidecar_count = 100;
    BalancerFixture fixture(s);
    fixture.list(EndpointUpdateKind::full, make_endpoints(20));
    std::vector<RequestId> all;
    for (int i = 0; i < 400; ++i) {
        const bool down = i >= 60 && (i < 100 || !back);
        if (!back && i == 100) break;
        fixture.advance(50);
        const RequestId id = fixture.request(0, 60000);
        while (down && fixture.in_flight(id) && fixture.endpoint_of(id) <= refusing)
            fixture.end(id, Outcome::connect_failure, 0);
        all.push_back(id);  // the request may wait in the queue and be sent later
        if (i >= 3 && fixture.in_flight(all[i - 3])) fixture.end(all[i - 3], Outcome::success, 0);
    }
    return fixture.count_in_flight(fixture.burst(40, 60000));
}

// The load of an endpoint that refuses connections moves to the other endpoints seconds before the endpoint
// list changes. If the concurrency limit did not fall, the other endpoints would be overloaded until the list
// changes.
TEST(AdmissionControl, TheLimitShrinksWithEndpointsThatRefuseConnections) {
    EXPECT_EQ(admitted_after_connect_failures(0, false), 40);
    EXPECT_LE(admitted_after_connect_failures(6, false), 1)
        << "three attempts were in flight with twelve endpoints";
    EXPECT_GE(admitted_after_connect_failures(6, true), 4)
        << "when the endpoints are back, the limit grows again to twice the attempts in flight";
}

TEST(AdmissionControl, LowTrafficSidecarsShedAtRandomWhenThePoolIsOverloaded) {
    int sent = 0, requests = 0;
    for (std::uint64_t n = 1; n <= 200; ++n) {
        Settings s = make_settings({make_class(Idempotency::not_idempotent)});
        s.sidecar_count = 1000;
        BalancerFixture fixture(s, n);
        fixture.list(EndpointUpdateKind::full, make_endpoints(20));
        for (int i = 0; i < 40; ++i) {
            fixture.advance(500);
            const RequestId id = fixture.request();
            while (fixture.in_flight(id)) fixture.end(id, Outcome::overloaded, 1);
            if (i >= 30) ++requests, sent += fixture.attempt_count(id) > 0;
        }
    }
    EXPECT_LT(sent, requests / 2);
    EXPECT_GT(sent, 0) << "admission never rejects everything";
}

}  // namespace
}  // namespace ochregrade::test
