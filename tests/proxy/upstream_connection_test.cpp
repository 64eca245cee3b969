// Connecting to an endpoint, writing the request and reading the response, under faults at each step.
#include "proxy/upstream_connection.hpp"

#include "support/stepped_sidecar.hpp"
#include "support/stepped_upstream_pool.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(UpstreamConnection, RefusedConnectCountsAsNotRun) {
    Running sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit")).result_int(), 503u);
}

// A request whose last byte was not sent never ran. This test's request is larger than the kernel buffers of
// both sides together, and the server does not read; so the last byte is not sent before the reset.
TEST(UpstreamConnection, ResetBeforeLastByteCountsAsNotRun) {
    Acceptor server(
        [](Wire& wire) {
            char byte;
            ::recv(wire.socket.native_handle(), &byte, 1, MSG_PEEK);  // the request has started to arrive
            wire.reset();
        },
        2048);
    asio::io_context io(1);
    Clock clock;
    std::vector<Outcome> outcomes;
    UpstreamPool upstream(
        io, clock, {},
        {[&](AttemptKey, Outcome outcome, HttpResponse*) { outcomes.push_back(outcome), io.stop(); },
         [](EndpointId, Outcome, Millis) {}});
    auto request =
        std::make_shared<HttpRequest>(http::verb::post, "/deposit", 11, std::string(64 << 20, 'x'));
    request->prepare_payload();
    upstream.send({1, 0}, 1, server.at, request, clock.now() + 60000, clock.now() + 60000);
    io.run_for(kPatience);
    EXPECT_EQ(outcomes, std::vector<Outcome>{Outcome::connect_failure});
}

TEST(UpstreamConnection, ConnectTimeoutCountsAsNotRun) {
    Silent server;
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["settings"]["limits"]["connect-timeout-ms"] = 50;
    Running sidecar(config);
    App app(sidecar.at);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(app.ask(App::request("deposit")).result_int(), 503u);
    EXPECT_LT(seconds_since(start), 20);
}

TEST(UpstreamConnection, DeadlineDuringConnectCountsAsNotRun) {
    Silent server;
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit", "200m")).result_int(), 503u);
}

TEST(UpstreamConnection, NothingIsWrittenToEndpointThatDrainsDuringConnect) {
    Silent draining;
    FakeServer other;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", draining.at())}));
    App app(sidecar.at);
    discovery.wait_for(1);
    app.wire.write(App::request("deposit"));
    // The connection is established before or after the list is applied. In both cases the response must come
    // from the other endpoint.
    discovery.say(6, false, {host("s1", draining.at(), "DRAINING"), host("s2", other.at())});
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_LT(seconds_since(start), 15);
    EXPECT_EQ(other.seen().size(), 1u);
}

TEST(UpstreamConnection, TimeoutGetsResponseByDeadlineAndClosesConnection) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        closed.set_value(wire.ended());
        return false;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit", "1000m")).result_int(), 502u);
    EXPECT_TRUE(closed.get_future().get());
}

TEST(UpstreamConnection, ClientDisconnectClosesConnection) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        closed.set_value(wire.ended());
        return false;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    const auto start = std::chrono::steady_clock::now();
    {
        App app(sidecar.at);
        app.wire.write(App::request("listen"));
        ASSERT_TRUE(server.wait_for(1));
    }
    EXPECT_TRUE(closed.get_future().get());
    EXPECT_LT(seconds_since(start), 20);
}

// The late response of an attempt that timed out must not reach another request.
TEST(UpstreamConnection, LateResponseIsNotForwarded) {
    std::promise<void> late;
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        if (number == 0) {
            wire.ended();
            wire.respond(200, "late");
            late.set_value();
            return false;
        }
        return wire.respond(200, "fine"), true;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit", "1000m")).result_int(), 502u);
    late.get_future().get();
    EXPECT_EQ(app.ask(App::request("deposit")).body(), "fine");
}

// A second response that arrives with the first must not be taken for the response to the next request.
TEST(UpstreamConnection, BytesBehindResponseAreDiscarded) {
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        number == 0 ? wire.write(first + first) : wire.respond(200, "next");
        return true;
    });
    SteppedUpstreamPool pool({1000, 15000, 10, 0});
    for (int i = 0; i < 2; ++i) pool.send(1, server.at()), pool.run();
    EXPECT_EQ(pool.bodies, (std::vector<std::string>{"first", "next"}));
    EXPECT_EQ(server.connections(), 2);
}

// The deduplication window of the key ends before the connection for the second attempt is established: an
// attempt written after that could run the request twice.
TEST(UpstreamConnection, NothingIsWrittenAfterDeduplicationWindow) {
    std::promise<void> release;
    FakeServer first([&](Wire& wire, const HttpRequest&, int) {
        return release.get_future().wait(), wire.reset(), false;
    });
    FakeServer second;
    json config = a_config(kNoAddress, {host("s1", first.at())});
    config["settings"]["classes"][2]["dedup-window-ms"] = 10000;
    SteppedSidecar sidecar(config);
    App app(sidecar.listener.endpoint());
    app.wire.write(App::request("annotate", "25000m", "x"));
    ASSERT_TRUE(sidecar.until([&] { return first.seen().size() == 1; }));
    sidecar.list({host("s1", first.at(), "DRAINING"), host("s2", second.at())});
    sidecar.turn();
    release.set_value();
    // Runs until the second attempt is connecting: the kernel has established its connection, but the
    // sidecar has not handled that yet.
    while (sidecar.driver.totals().attempts < 2) sidecar.io.restart(), sidecar.io.run_one();
    sidecar.clock.skip(10000);
    EXPECT_EQ(sidecar.answer(app).result_int(), 502u);
    EXPECT_TRUE(second.seen().empty());
}

// Once the write deadline has passed (here the end of the deduplication window), the rest of a partly written
// request is not written either.
TEST(UpstreamConnection, RestOfRequestIsNotWrittenAfterDeduplicationWindow) {
    PartlyWrittenRequest request(10000);
    request.pool.clock.skip(10000);
    request.go.set_value();
    request.pool.run();
    EXPECT_EQ(request.pool.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_LT(request.came.get_future().get(), PartlyWrittenRequest::kWhole);
}

}  // namespace
}  // namespace ochregrade::sidecar
