// Reuse and closing of upstream connections, the connection limit, a shortage of descriptors, and what is
// kept of removed endpoints and at rest.
#include "proxy/upstream_pool.hpp"

#include "support/stepped_sidecar.hpp"
#include "support/stepped_upstream_pool.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(UpstreamPool, StaleConnectionIsNotReused) {
    std::atomic<int> closed{0};
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        wire.respond(200, "fine");
        wire.socket.close();
        ++closed;
        closed.notify_all();
        return false;
    });
    SteppedUpstreamPool pool({1000, 15000, 50, 0});  // connections are reused at once
    for (int i = 0; i < 20; ++i) {
        pool.send(1, server.at()), pool.run();
        ASSERT_EQ(pool.outcomes.back(), Outcome::success) << i;
        closed.wait(i);
    }
    EXPECT_EQ(server.seen().size(), 20u);
}

// Bytes that an endpoint sends behind its response, however late, must not be taken for another response.
TEST(UpstreamPool, LateExtraResponseIsDiscarded) {
    std::promise<void> release, extra_sent;
    std::shared_future<void> released = release.get_future().share();
    std::promise<bool> ended;
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        wire.respond(200, "fine");
        if (number > 0) return true;
        released.wait();
        wire.respond(200, "left over");
        extra_sent.set_value();
        ended.set_value(wire.ended());
        return false;
    });
    SteppedUpstreamPool pool({1000, 15000, 50, 0});  // connections are reused at once
    pool.send(1, server.at()), pool.run();
    release.set_value();
    extra_sent.get_future().get();
    pool.send(1, server.at()), pool.run();
    EXPECT_EQ(pool.bodies, (std::vector<std::string>{"fine", "fine"}));
    EXPECT_TRUE(ended.get_future().get()) << "the connection is closed";
    EXPECT_EQ(server.connections(), 2);
}

// The outcome and body of a request on a connection whose last response was `status` and was sent twice, one
// copy right behind the other. The server's kernel has its default, with which it holds back the second copy
// until the first one is acknowledged. Linux delays acknowledgements only after a connection's first
// exchanges.
struct NextResponse {
    explicit NextResponse(int status) {
        constexpr int kExchanges = 40;
        std::promise<void> sent_twice;
        FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
            const std::string body = std::to_string(number);
            if (number != kExchanges) return wire.respond(200, body), true;
            for (int copy = 0; copy < 2; ++copy) wire.respond(status, body, "X-Unprocessed: 1\r\n");
            sent_twice.set_value();
            return true;
        });
        SteppedUpstreamPool pool({1000, 15000, 50, 0});  // connections are reused at once
        for (int i = 0; i <= kExchanges; ++i) pool.send(1, server.at()), pool.run();
        EXPECT_EQ(server.connections(), 1);
        sent_twice.get_future().get();
        pool.send(1, server.at()), pool.run();
        outcome = pool.outcomes.back();
        is_own = pool.bodies.back() == std::to_string(kExchanges + 1);
    }
    Outcome outcome;
    bool is_own;  // the response that the server sent for this request
};

// Guards against clients that get the response to another request.
TEST(UpstreamPool, SecondResponseHeldBackForAcknowledgementIsNotForwarded) {
    const NextResponse next(200);
    EXPECT_EQ(next.outcome, Outcome::success);
    EXPECT_TRUE(next.is_own);
}

// Guards against requests that run twice: a 503 that was sent for another request proves nothing about this
// one, which would then be retried although it runs.
TEST(UpstreamPool, SecondRejectionHeldBackForAcknowledgementDoesNotCountAsNotRun) {
    const NextResponse next(503);
    EXPECT_EQ(next.outcome, Outcome::success);
    EXPECT_TRUE(next.is_own);
}

// A connection is reused only after the quiet period: the endpoint may still send more bytes behind its
// response.
TEST(UpstreamPool, ConnectionIsReusedOnlyAfterQuietPeriod) {
    FakeServer server;
    for (const bool quiet_period_over : {false, true}) {
        SteppedUpstreamPool pool({1000, 15000, 10, quiet_period_over ? 0.0 : 10000.0});
        const int before = server.connections();
        pool.send(1, server.at());
        pool.run();
        pool.send(1, server.at());
        pool.run();
        EXPECT_EQ(pool.outcomes, std::vector<Outcome>(2, Outcome::success));
        EXPECT_EQ(server.connections() - before, quiet_period_over ? 1 : 2);
    }
}

// The pool keeps no state of removed endpoints, even after thousands of removals, and also if an attempt was
// in flight at the removal. A new endpoint at the same address gets a new connection.
TEST(UpstreamPool, NothingIsKeptOfRemovedEndpoints) {
    FakeServer server;
    SteppedUpstreamPool pool({1000, 15000, 50, 0});
    for (EndpointId id = 1; id <= 2000; ++id) {
        pool.send(id, server.at());
        if (id % 2) pool.upstream.retire(id);  // with the attempt in flight
        pool.run();
        if (id % 2 == 0) {
            EXPECT_EQ(pool.upstream.open(), 1u);
            pool.upstream.withdraw_endpoint(id);
        }
        ASSERT_EQ(pool.upstream.open(), 0u) << id;
        ASSERT_EQ(pool.upstream.pools(), 0u) << id;
        ASSERT_EQ(pool.upstream.in_flight(), 0u) << id;
    }
    EXPECT_EQ(pool.outcomes, std::vector<Outcome>(2000, Outcome::success));
    EXPECT_EQ(server.connections(), 2000);
}

// A reached connection limit, like a shortage of descriptors, is a local condition of the sidecar and must
// not count against an endpoint: the outcome is `not_sent`.
TEST(UpstreamPool, ConnectionLimitDoesNotCountAgainstEndpoint) {
    Silent silent;
    SteppedUpstreamPool pool({60000, 15000, 1, 0});
    pool.send(1, silent.at());
    pool.send(2, silent.at());
    EXPECT_EQ(pool.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_EQ(pool.upstream.open(), 1u);
}

TEST(UpstreamPool, DescriptorShortageDoesNotCountAgainstEndpoint) {
    FakeServer first, second;
    SteppedUpstreamPool pool({1000, 15000, 10, 0});
    pool.send(1, first.at()), pool.run();
    {
        const NoDescriptors none;
        pool.send(2, second.at()), pool.run();
    }
    EXPECT_EQ(pool.outcomes, (std::vector<Outcome>{Outcome::success, Outcome::not_sent}));
    EXPECT_EQ(pool.upstream.open(), 1u);
    {  // a shortage that ends before the connect is retried (within 0.1 s)
        const NoDescriptors none;
        pool.send(2, second.at());
    }
    pool.run();
    EXPECT_EQ(pool.outcomes.back(), Outcome::success);
    EXPECT_EQ(pool.upstream.open(), 2u);
}

// The process is paused until a connection's idle limit has passed (14 s: the idle timeout of 15 s less 1 s).
// When the process continues, the connection's timer has not fired yet.
TEST(UpstreamPool, ExpiredIdleConnectionIsNotReusedBeforeItsTimerFires) {
    FakeServer server;
    SteppedUpstreamPool pool({1000, 15000, 10, 0});
    pool.send(1, server.at()), pool.run();
    pool.clock.skip(14500);
    pool.send(1, server.at()), pool.run();
    EXPECT_EQ(pool.outcomes, (std::vector<Outcome>{Outcome::success, Outcome::success}));
    EXPECT_EQ(server.connections(), 2);
}

TEST(UpstreamPool, IdleConnectionIsClosedBeforeEndpointsOwnLimit) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        wire.respond(200, "fine");
        closed.set_value(wire.ended());
        return false;
    });
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["settings"]["limits"]["idle-close-ms"] = 400;
    Running sidecar(config);
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
    EXPECT_TRUE(closed.get_future().get());
}

// Makes attempts end in five ways in turn: reset, invalid response, 500, timeout, success.
const FakeServer::Reply kMixedOutcomes = [](Wire& wire, const HttpRequest&, int number) {
    if (number % 5 == 0) return wire.reset(), false;
    if (number % 5 == 1) return wire.write("ICY 200 OK\r\n\r\n"), true;
    if (number % 5 == 2) return wire.respond(500), true;
    if (number % 5 == 3) return wire.ended(), false;  // waits until the attempt times out
    return wire.respond(200, "fine"), true;
};

// While no request is being served, neither the balancer nor the upstream pool counts an attempt in flight,
// however earlier attempts ended. No state is kept of 2,500 endpoints that were added and removed. This would
// show an attempt or probe that is never counted as ended, because the balancer keeps an endpoint while an
// attempt or probe to it is in flight.
TEST(UpstreamPool, AtRestNothingIsInFlightAndOnlyListedEndpointsAreKept) {
    FakeServer mixed(kMixedOutcomes);
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", mixed.at())}));
    const auto wait_for = [&](const auto& reached) {
        const auto start = std::chrono::steady_clock::now();
        while (!reached(sidecar.usage())) {
            if (seconds_since(start) > 30) return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    };
    int seq = 5;
    for (int round = 0; round < 5; ++round) {
        App app(sidecar.at);
        for (int i = 0; i < 5; ++i) app.ask(App::request("deposit", "100m"));
        app.wire.write(App::request("deposit", "100m"));  // the client disconnects before the response
        std::vector<json> added, removed;
        for (int i = 0; i < 500; ++i) {
            const std::string name = std::to_string(round * 500 + i);
            added.push_back(host(name, kNoAddress));
            removed.push_back(host(name, kNoAddress, "DELETED"));
        }
        discovery.say(++seq, false, added);
        ASSERT_TRUE(wait_for([](const BalancerDriver::Usage& usage) {
            return usage.endpoints == 501 && usage.known_endpoints == 501;
        }));
        discovery.say(++seq, false, removed);
        ASSERT_TRUE(wait_for([](const BalancerDriver::Usage& usage) {
            return usage.endpoints == 1 && usage.known_endpoints == 1;
        }));
    }
    EXPECT_TRUE(wait_for(
        [](const BalancerDriver::Usage& usage) { return usage.requests == 0 && usage.attempts == 0; }));
    discovery.say(++seq, true, {host("s2", mixed.at())});
    EXPECT_TRUE(wait_for([](const BalancerDriver::Usage& usage) {
        return usage.endpoints == 1 && usage.known_endpoints == 1 && usage.pools == 0;
    }));
}

}  // namespace
}  // namespace ochregrade::sidecar
