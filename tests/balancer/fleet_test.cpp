// What the sidecars of a fleet do together: several balancers are given events by hand; no server is
// modelled.
#include <cmath>

#include "support/balancer_fixture.hpp"

namespace ochregrade::test {
namespace {

// Many sidecars with low traffic, each with the same warm servers and one that has just started; each has a
// few requests, answered at once. Returns what share of a warm server's sends the cold one got.
double new_endpoint_share(std::uint32_t sidecars, int requests_each, EndpointId warm, Millis age) {
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

TEST(SlowStart, TheShareHoldsFromOneSidecarToAThousand) {
    // 0.2 of its capacity at first, and no more than twice that from winning ties.
    for (const auto& [sidecars, each] : {std::pair{1u, 4000}, {30u, 150}, {1000u, 4}}) {
        const double part = new_endpoint_share(sidecars, each, 40, 0);
        EXPECT_GT(part, 0.1) << sidecars;
        EXPECT_LT(part, 0.6) << sidecars;
    }
}

TEST(SlowStart, ANewEndpointDoesNotBypassTheConcurrencyLimit) {
    // Slow answers have lowered the limit: what is over it must not go to the one cold server instead.
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

TEST(EndpointSelection, LowTrafficSidecarsFollowTheCapacityWeight) {
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

TEST(EndpointSelection, AnInvalidCapacityWeightCountsAsOne) {
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
// `interarrival`.
bool closes_idle_connections(EndpointId servers, Millis interarrival) {
    Rig rig(make_settings({make_class(Idempotency::not_idempotent)}));
    rig.list(EndpointUpdateKind::full, make_servers(servers));
    int closed = 0;
    for (int i = 0; i < 60; ++i) {
        rig.pass(interarrival);
        rig.end(rig.request(), Outcome::success, 0);
        closed = rig.count<CloseIdleConnections>();
    }
    return closed > 0;
}

TEST(IdleConnections, OnlyLowTrafficWithManyEndpointsClosesThem) {
    EXPECT_TRUE(closes_idle_connections(50, 500));
    EXPECT_FALSE(closes_idle_connections(50, 20));
    EXPECT_FALSE(closes_idle_connections(5, 500));
}

// How many of a burst go out just after the list has dropped to `left` of twenty servers.
int admitted_after_list_drop(EndpointId left) {
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

TEST(AdmissionControl, TheLimitShrinksWithTheEndpointList) {
    EXPECT_EQ(admitted_after_list_drop(20), 40);
    EXPECT_LE(admitted_after_list_drop(10), 4) << "four were out at twenty servers";
}

// How many of a burst go out after this many of twenty servers have refused connections for 2 s, the list
// saying nothing; and, if they come up again, after a while more.
int admitted_after_connect_failures(EndpointId refusing, bool back) {
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

// A server whose connections do not come up leaves its load to the others seconds before the list shows it.
TEST(AdmissionControl, TheLimitShrinksWithEndpointsThatRefuseConnections) {
    EXPECT_EQ(admitted_after_connect_failures(0, false), 40);
    EXPECT_LE(admitted_after_connect_failures(6, false), 1) << "three were out at twelve servers";
    EXPECT_GE(admitted_after_connect_failures(6, true), 4)
        << "and grows again, to twice what is used, when they are back";
}

TEST(AdmissionControl, LowTrafficSidecarsShedAtRandomWhenThePoolIsOverloaded) {
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
