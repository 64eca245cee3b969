// Changes of the endpoint list while requests are served: draining, moved and restarted endpoints.
#include "proxy/endpoint_table.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

// A request that an endpoint rejects after the endpoint was listed as draining is retried at another
// endpoint, or rejected if there is none.
TEST(EndpointList, RetryAvoidsDrainingEndpoint) {
    for (const bool other : {true, false}) {
        SCOPED_TRACE(other ? "with another endpoint" : "without another endpoint");
        std::promise<void> release;
        std::shared_future<void> released = release.get_future().share();
        FakeServer old([&](Wire& wire, const HttpRequest&, int) {
            released.wait();
            return wire.respond(503, "", "X-Unprocessed: 1\r\n"), true;
        });
        FakeServer fresh;
        FakeDiscovery discovery;
        Running sidecar(a_config(discovery.at(), {host("s1", old.at())}));
        discovery.wait_for(1);
        App app(sidecar.at);
        app.wire.write(App::request("deposit"));
        ASSERT_TRUE(old.wait_for(1));
        std::vector<json> endpoints{host("s1", old.at(), "DRAINING")};
        if (other) endpoints.push_back(host("s2", fresh.at()));
        discovery.say(6, false, endpoints);
        discovery.wait_for(2);
        sidecar.in_loop([] { return 0; });
        release.set_value();
        EXPECT_EQ(app.answer().result_int(), other ? 200u : 503u);
        EXPECT_EQ(old.seen().size(), 1u);
        EXPECT_EQ(fresh.seen().size(), other ? 1u : 0u);
    }
}

// An attempt that is still connecting is withdrawn when its endpoint is listed as draining. The second and
// last attempt is made at the other endpoint of the new list, not at the draining endpoint.
TEST(EndpointList, WithdrawnAttemptIsRescheduledByUpdatedList) {
    Silent draining;
    FakeServer fresh;
    json config = a_config(kNoAddress, {host("s1", draining.at())});
    config["settings"]["limits"]["max-attempts"] = 2;
    SteppedSidecar sidecar(config);
    App app(sidecar.listener.endpoint());
    app.wire.write(App::request("deposit"));
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.usage().connections == 1; }));
    sidecar.list({host("s1", draining.at(), "DRAINING"), host("s2", fresh.at())});
    EXPECT_EQ(sidecar.answer(app).result_int(), 200u);
    EXPECT_EQ(sidecar.driver.totals().attempts, 2u);
}

// The endpoint moves to another address while an attempt is connecting to the old one. The attempt is
// withdrawn and retried at the new address, because another endpoint may be at the old address by now.
TEST(EndpointList, PendingConnectionFollowsMovedEndpoint) {
    Silent old_address;
    FakeServer new_address;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", old_address.at())}));
    discovery.wait_for(1);
    App app(sidecar.at);
    app.wire.write(App::request("deposit"));
    while (sidecar.usage().connections == 0) {
    }
    discovery.say(6, false, {host("s1", new_address.at())});
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_LT(std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(),
              15);  // seconds, well before the connect timeout of 20 s
    EXPECT_EQ(new_address.seen().size(), 1u);
}

// An endpoint whose process started at `born_ms`, Unix milliseconds.
json started_host(const std::string& name, const std::string& dial, double born_ms,
                  const char* health = "SERVING") {
    json entry = host(name, dial, health);
    entry["born_ms"] = born_ms;
    return entry;
}

EndpointList changes(std::uint64_t seq, const std::vector<json>& hosts) {
    return parse_endpoint_list(json{{"seq", seq}, {"whole", false}, {"hosts", hosts}});
}

// Guards against requests at a draining endpoint: a new process had come up at the address of one that had
// gone and was still listed, and requests for the old one went to the new one.
TEST(EndpointList, GoneEndpointIsNotUsedWhenItsAddressHasANewProcess) {
    FakeServer replaced, other;
    SteppedSidecar sidecar(
        a_config(kNoAddress, {started_host("old", replaced.at(), 0), host("other", other.at())}));
    sidecar.driver.endpoints_received(changes(6, {started_host("new", replaced.at(), 1.7e12, "DRAINING")}));
    App app(sidecar.listener.endpoint());
    for (int i = 0; i < 20; ++i) EXPECT_EQ(sidecar.ask(app, App::request("deposit")).result_int(), 200u);
    EXPECT_EQ(replaced.seen().size(), 0u);
    EXPECT_EQ(other.seen().size(), 20u);
    // When the new one is gone too, what discovery says of the old one holds again.
    sidecar.driver.endpoints_received(changes(
        7, {started_host("new", replaced.at(), 1.7e12, "DELETED"), host("other", other.at(), "DRAINING")}));
    EXPECT_EQ(sidecar.ask(app, App::request("deposit")).result_int(), 200u);
    EXPECT_EQ(replaced.seen().size(), 1u);
}

// An attempt that is still connecting to the old process would reach the new one.
TEST(EndpointList, PendingConnectionToAReplacedEndpointIsWithdrawn) {
    Silent replaced;
    FakeServer other;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("old", replaced.at())}));
    App app(sidecar.listener.endpoint());
    const auto start = std::chrono::steady_clock::now();
    app.wire.write(App::request("deposit"));
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.usage().connections == 1; }));
    sidecar.driver.endpoints_received(
        changes(6, {started_host("new", replaced.at(), 1.7e12, "DRAINING"), host("other", other.at())}));
    EXPECT_EQ(sidecar.answer(app).result_int(), 200u);
    EXPECT_LT(seconds_since(start), 15);  // well before the connect timeout of 20 s
    EXPECT_EQ(other.seen().size(), 1u);
}

// A process that started at the same time is not taken for a new one: both may be behind one proxy.
TEST(EndpointList, EndpointsThatShareAnAddressAreBothUsed) {
    FakeServer shared;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", shared.at())}));
    sidecar.driver.endpoints_received(changes(6, {host("s2", shared.at(), "DRAINING")}));
    App app(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(app, App::request("deposit")).result_int(), 200u);
}

// An endpoint that starts after a step of the wall clock reports its start time by the changed clock. Its
// slow start must start and end at the same times as without the step.
TEST(WallClock, StepDoesNotChangeSlowStart) {
    constexpr Millis kHour = 3600e3, kSlowStartDuration = 20000;
    const auto share_of_new = [&](Millis step, Millis age) {
        // The old endpoint takes 4 ms per request. After the slow start, the new endpoint is the faster one
        // and is chosen more often.
        FakeServer new_endpoint, old_endpoint([](Wire&w, const HttpRequest&, int) {
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
            return w.respond(200, "fine"), true;
        });
        json config = a_config(kNoAddress, {host("s1", old_endpoint.at())});
        config["settings"]["rules"] = {
            {"cold-from", 0.02}, {"warm-within-ms", kSlowStartDuration}, {"fall-multiple", 2}};
        SteppedSidecar sidecar(config);
        sidecar.clock.step_wall(step);
        json fresh = host("s2", new_endpoint.at());
        fresh["born_ms"] = std::floor(sidecar.clock.now() + step);
        sidecar.list({host("s1", old_endpoint.at()), fresh});
        sidecar.turn();
        sidecar.clock.skip(age);
        App app(sidecar.listener.endpoint());
        for (int i = 0; i < 60; ++i) EXPECT_EQ(sidecar.ask(app, App::request("listen")).result_int(), 200u);
        return static_cast<double>(new_endpoint.seen().size()) / 60;
    };
    for (const Millis step : {0.0, -kHour, kHour, -5000.0, 5000.0}) {
        SCOPED_TRACE(step);
        EXPECT_LT(share_of_new(step, 0), 0.2) << "just started";
        EXPECT_GT(share_of_new(step, kSlowStartDuration), 0.2) << "warm";
    }
}

}  // namespace
}  // namespace ochregrade::sidecar
