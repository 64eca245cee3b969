// A drain: which requests are served between SIGTERM and the exit of the process (docs/ENDINGS.md).
#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

json with_deadlines(json config, int milliseconds) {
    for (auto& c : config["settings"]["classes"]) c["give-up-ms"] = milliseconds;
    return config;
}

// A response is being written when the drain starts. The response's headers promise that the connection stays
// open, so the client does not close it; the sidecar must close it after the response.
TEST(Drain, ClosesConnectionAfterResponseBeingWritten) {
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}));
    App app(sidecar.listener.endpoint());
    app.wire.write(kHealthRequest);
    while (!is_readable(app.wire))
        sidecar.io.restart(), sidecar.io.run_one();  // the response is written, but its handler has not run
    sidecar.listener.drain(sidecar.clock.now() + 1000);
    EXPECT_EQ(sidecar.listener.connections(), 1u);
    EXPECT_TRUE(app.answer().keep_alive());
    sidecar.turn();
    EXPECT_EQ(sidecar.listener.connections(), 0u);
}

// A drain does not close a new connection at once, because a client that opens a connection is expected to
// send a request on it at once.
TEST(Drain, NewConnectionHasTimeForItsFirstRequest) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App fresh(sidecar.listener.endpoint());
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 1; }));
    sidecar.listener.drain(sidecar.clock.now() + 5000);
    sidecar.io.restart(), sidecar.io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(sidecar.ask(fresh, App::request("listen")).result_int(), 200u);
    // A new connection on which nothing is sent is closed after the grace (kFirstRequestGrace).
    App silent(sidecar.listener.endpoint());
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() > 0; }));
    EXPECT_TRUE(sidecar.until([&] {
        sidecar.listener.close_idle();
        return sidecar.listener.connections() == 0;
    }));
}

TEST(Drain, ConnectionWithUnreadRequestIsServed) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint()), queued(sidecar.listener.endpoint());
    ASSERT_EQ(sidecar.ask(app, kHealthRequest).result_int(), 200u);
    app.wire.write(App::request("deposit"));
    App waiting(sidecar.listener.endpoint());  // in the accept queue
    waiting.wire.write(App::request("deposit"));
    sidecar.listener.drain(sidecar.clock.now() + 20000);
    sidecar.listener.stop_accepting();
    for (App* each : {&app, &waiting}) {
        SCOPED_TRACE(each == &app ? "idle" : "in the queue");
        const HttpResponse response = sidecar.answer(*each);
        EXPECT_EQ(response.result_int(), 200u);
        EXPECT_FALSE(response.keep_alive());
    }
}

// Connections for which no descriptor is free stay in the accept queue and are accepted as soon as a
// descriptor is free.
TEST(Drain, AcceptQueueIsEmptiedOnceDescriptorsAreAvailable) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App waiting(sidecar.listener.endpoint());
    waiting.wire.write(App::request("deposit"));
    sidecar.listener.drain(sidecar.clock.now() + 20000);
    {
        const NoDescriptors none;
        EXPECT_FALSE(sidecar.listener.stop_accepting());
    }
    EXPECT_TRUE(sidecar.listener.stop_accepting());
    EXPECT_EQ(sidecar.answer(waiting).result_int(), 200u);
}

// A client may send a request while the sidecar closes its idle connection. The client then retries on a new
// connection, which must still be accepted. The test tries up to ten times, because this thread may be
// paused until connections are no longer accepted.
TEST(Drain, ClientOfClosedIdleConnectionCanRetryOnNewOne) {
    FakeServer server;
    const auto retry_is_served = [&] {
        Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
        sidecar.stop([] {});
        sidecar.in_loop([] { return 0; });
        App idle(sidecar.at);
        EXPECT_TRUE(idle.wire.ended());
        try {
            App retry(sidecar.at);
            return retry.ask(App::request("deposit")).result_int() == 200u;
        } catch (const boost::system::system_error&) {
            return false;  // connections are not accepted any more
        }
    };
    bool served = false;
    for (int i = 0; i < 10 && !served; ++i) served = retry_is_served();
    EXPECT_TRUE(served);
}

// SIGKILL may come 3.7 s after SIGTERM, however long the deadlines of requests are. A request that arrives
// during the drain must end earlier: at most 3.5 s are left for its attempt.
TEST(Drain, LateRequestWithLongDeadlineGetsResponseBeforeSigkill) {
    FakeServer server;
    Running sidecar(with_deadlines(a_config(kNoAddress, {host("s1", server.at())}), 10000));
    App app(sidecar.at);
    ASSERT_EQ(app.ask(kHealthRequest).result_int(), 200u);
    const std::string text = App::request("deposit", "10000m");
    app.wire.write(text.substr(0, 30));
    // Waits until the sidecar has read the start of the request: the drain then does not close the connection
    // as idle.
    while (sidecar.in_loop([&] { return !sidecar.node().listener().reading(); })) {
    }
    sidecar.stop([] {});
    sidecar.in_loop([] { return 0; });
    EXPECT_EQ(app.ask(text.substr(30)).result_int(), 200u);
    const std::string left(server.seen().at(0)["X-Time-Left"]);
    EXPECT_LE(std::stoll(left), 3500000);
}

// An incomplete request is rejected before the process exits, because the exit would reset its connection
// without a response.
TEST(Drain, IncompleteRequestIsRejectedBeforeExit) {
    Running sidecar(with_deadlines(a_config(kNoAddress, {host("s1", kNoAddress)}), 300));
    App app(sidecar.at);
    app.wire.write("POST /deposit HTTP/1.1\r\nHost: x\r\n");
    while (sidecar.in_loop([&] { return !sidecar.node().listener().reading(); })) {
    }
    std::promise<bool> answered;
    sidecar.stop([&] { answered.set_value(is_readable(app.wire)); });
    EXPECT_TRUE(answered.get_future().get());
    EXPECT_EQ(app.answer().result_int(), 408u);
}

// A configuration with shorter deadlines was applied before the signal. Requests that started before the
// change keep the longer deadlines.
TEST(Drain, WaitsForDeadlinesOfEarlierConfiguration) {
    FakeServer server([](Wire& wire, const HttpRequest&, int) { return wire.ended(), false; });
    json config = with_deadlines(a_config(kNoAddress, {host("s1", server.at())}), 2500);
    Running sidecar(config);
    App app(sidecar.at);
    app.wire.write(App::request("deposit", "2500m"));
    ASSERT_TRUE(server.wait_for(1));
    const json next = with_deadlines(config, 100);
    ASSERT_EQ(sidecar.in_loop([&] {
        return sidecar.node().change(next, ConfigVersions::Source::operators, false, {}).result;
    }),
              ConfigChange::Result::applied);
    std::promise<std::size_t> unanswered;
    sidecar.stop([&] { unanswered.set_value(sidecar.node().driver().pending_requests()); });
    EXPECT_EQ(unanswered.get_future().get(), 0u);
    EXPECT_EQ(app.answer().result_int(), 502u);
}

// A second stop() while draining, as on a second SIGTERM, does not change the end of the drain: only the
// first callback is called.
TEST(Drain, SecondSignalHasNoEffect) {
    FakeServer server;
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    std::promise<int> done;
    sidecar.stop([&] { done.set_value(1); });
    sidecar.stop([&] { done.set_value(2); });
    EXPECT_EQ(done.get_future().get(), 1);
}

// Endpoint lists are applied until the end of the drain: a request that arrives while the sidecar drains is
// not sent to a draining endpoint.
TEST(Drain, EndpointListUpdatesAreApplied) {
    FakeServer old, fresh;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", old.at())}));
    discovery.wait_for(1);
    App app(sidecar.at);
    const std::string text = App::request("deposit");
    app.wire.write(text.substr(0, 30));
    while (sidecar.in_loop([&] { return !sidecar.node().listener().reading(); })) {
    }
    sidecar.stop([] {});
    discovery.say(6, false, {host("s1", old.at(), "DRAINING"), host("s2", fresh.at())});
    discovery.wait_for(2);  // discovery is called again in the turn of the loop that applies the list
    sidecar.in_loop([] { return 0; });
    EXPECT_EQ(app.ask(text.substr(30)).result_int(), 200u);
    EXPECT_TRUE(old.seen().empty());
    EXPECT_EQ(fresh.seen().size(), 1u);
}

TEST(GracefulShutdown, ServesRequestsInFlightThenExits) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        if (number == 0) released.wait();
        return wire.respond(200, "fine"), true;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App idle(sidecar.at), pending(sidecar.at);
    ASSERT_EQ(idle.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
    pending.wire.write(App::request("deposit"));
    ASSERT_TRUE(server.wait_for(1));
    std::promise<void> done;
    const auto start = std::chrono::steady_clock::now();
    sidecar.stop([&] { done.set_value(); });
    EXPECT_TRUE(idle.wire.ended());
    if (seconds_since(start) < 0.3) {  // after 0.3 s, new connections need not be accepted
        App late(sidecar.at);
        const HttpResponse response = late.ask(App::request("listen"));
        EXPECT_EQ(response.result_int(), 200u);
        EXPECT_FALSE(response.keep_alive());
    }
    release.set_value();
    const HttpResponse response = pending.answer();
    EXPECT_EQ(response.result_int(), 200u);
    EXPECT_FALSE(response.keep_alive());
    pending.wire.socket.close();
    EXPECT_EQ(done.get_future().wait_for(kPatience), std::future_status::ready);
    EXPECT_GT(seconds_since(start), 0.4);
}

}  // namespace
}  // namespace ochregrade::sidecar
