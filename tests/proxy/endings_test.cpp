// What is owed at the instant in which something ends (docs/ENDINGS.md), over real connections: the bad order
// is made to happen each time, by a loop that the test itself turns or by a clock that it moves.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "discovery/discovery_client.hpp"
#include "proxy/pipelined_requests.hpp"
#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

using std::chrono::steady_clock;
const std::string kNowhere = "127.0.0.1:1";
const std::string kHealth = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

// Something has come for whoever holds this end, or its other side has ended.
bool stirs(Wire& wire) {
    char byte;
    return ::recv(wire.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

// A sidecar without discovery on a loop that stands still until the test turns it: what clients and servers
// do in between is in the kernel, unread.
struct House {
    explicit House(const json& config, Listener::Limits limits = {400, 1 << 20})
        : sidecar(io, clock, zones, snapshot_of(config, 1), {20000, 15000, 50, 0}),
          listener(io, clock, sidecar, limits) {
        listener.listen({asio::ip::make_address("127.0.0.1"), 0});
        sidecar.start();
        listener.open_for_use();
        turn();
    }
    static ConfigSnapshotPtr snapshot_of(const json& config, std::uint64_t generation) {
        auto snapshot = std::make_shared<ConfigSnapshot>();
        snapshot->version = generation;
        snapshot->config = read_config(config);
        snapshot->settings = std::make_shared<const Settings>(snapshot->config.settings);
        return snapshot;
    }
    void turn() { io.restart(), io.poll(); }
    void tell(const std::vector<json>& hosts) {
        sidecar.endpoints_received(parse_endpoint_list(json{{"seq", 6}, {"whole", true}, {"hosts", hosts}}));
    }
    template <class Done>
    bool until(Done done) {
        for (const auto end = steady_clock::now() + kPatience; !done();) {
            if (steady_clock::now() > end) return false;
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
        }
        return true;
    }
    HttpResponse answer(App& app) {
        EXPECT_TRUE(until([&] { return stirs(app.wire); }));
        return app.answer();
    }
    HttpResponse ask(App& app, const std::string& text) {
        app.wire.write(text);
        return answer(app);
    }
    asio::io_context io{1};
    Clock clock;
    Zones zones;
    BalancerDriver sidecar;
    Listener listener;
};

// ---- Time that passes while nobody reads
// --------------------------------------------------------------------

// What a server is told, in milliseconds.
Millis told_time(const HttpRequest& request) {
    const std::string text(request["X-Time-Left"]);
    return std::stod(text.substr(0, text.size() - 1)) / 1000;
}

// The client's time runs while this process stands still and its request lies in the kernel.
TEST(TimeLeft, RunsWhileTheProcessStandsStill) {
    constexpr Millis kTime = 4000, kStill = 600, kSlack = 150;
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App resting(house.listener.endpoint());
    ASSERT_EQ(house.ask(resting, kHealth).result_int(), 200u);
    const auto spin = std::chrono::milliseconds(120);  // the listener looks at its connections every 50 ms
    house.io.restart(), house.io.run_for(spin);
    App fresh(house.listener.endpoint());
    resting.wire.write(App::request("listen", "4000m"));
    fresh.wire.write(App::request("listen", "4000m"));
    std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(kStill)));
    ASSERT_TRUE(house.until([&] { return server.seen().size() == 2; }));
    for (const HttpRequest& request : server.seen()) EXPECT_LE(told_time(request), kTime - kStill + kSlack);
    // And it is told as before once that is over.
    house.io.restart(), house.io.run_for(spin);
    resting.wire.write(App::request("listen", "4000m"));
    ASSERT_TRUE(house.until([&] { return server.seen().size() == 3; }));
    EXPECT_GT(told_time(server.seen().back()), kTime - kStill);
}

// The same for a request that was sent ahead of its turn.
TEST(TimeLeft, RunsWhileARequestAwaitsItsTurn) {
    constexpr Millis kTime = 4000, kTurn = 500, kSlack = 150;
    FakeServer server([](Wire& w, const HttpRequest&, int number) {
        if (number == 0) std::this_thread::sleep_for(std::chrono::milliseconds(500));
        return w.respond(200, "fine"), true;
    });
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint());
    app.wire.write(App::request("listen", "4000m") + App::request("listen", "4000m"));
    ASSERT_TRUE(house.until([&] { return server.seen().size() == 2; }));
    EXPECT_LE(told_time(server.seen().back()), kTime - kTurn + kSlack);
}

// It is true when it is read from the clock; the process may be held up for up to 0.15 s before its write,
// and the way to the server takes time too. Short times are left nearly whole.
TEST(TimeLeft, LeavesAMarginForAProcessHeldUpBeforeItsWrite) {
    constexpr Millis kLong = 2000, kShort = 400, kMargin = 20, kLeastShare = 0.85;
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint());
    ASSERT_EQ(house.ask(app, App::request("listen", "2000m")).result_int(), 200u);
    ASSERT_EQ(house.ask(app, App::request("listen", "400m")).result_int(), 200u);
    EXPECT_LE(told_time(server.seen().at(0)), kLong - kMargin);
    EXPECT_LE(told_time(server.seen().at(1)), kShort - kMargin);
    EXPECT_GE(told_time(server.seen().at(1)), kShort * kLeastShare);
}

// ---- Requests sent ahead of their turn
// -------------------------------------------------------------------------------------

// Answers come in order: one that takes all its time holds up those behind it, which are owed theirs 0.5 s
// after their own times.
TEST(Ahead, ARequestEndsBeforeThoseBehindItAreOwedTheirAnswers) {
    constexpr double kTimeBehind = 0.3, kGrace = 0.5, kSlack = 0.2;  // seconds
    std::promise<void> go;
    auto released = go.get_future().share();
    FakeServer hung([&](Wire&, const HttpRequest&, int) { return released.wait(), false; });
    Running sidecar(a_config(kNowhere, {host("s1", hung.at())}));
    App app(sidecar.at);
    const auto start = steady_clock::now();
    app.wire.write(App::request("deposit", "5000m") + App::request("listen", "300m"));
    EXPECT_EQ(app.answer().result_int(), 502u);
    EXPECT_EQ(app.answer().result_int(), 503u);
    EXPECT_LT(std::chrono::duration<double>(steady_clock::now() - start).count(),
              kTimeBehind + kGrace + kSlack);
    go.set_value();
}

TEST(Ahead, ARequestWithTimeBehindItIsLeftItsOwn) {
    FakeServer slow([](Wire& w, const HttpRequest&, int number) {
        if (number == 0) std::this_thread::sleep_for(std::chrono::milliseconds(700));
        return w.respond(200, "fine"), true;
    });
    Running sidecar(a_config(kNowhere, {host("s1", slow.at())}));
    App app(sidecar.at);
    app.wire.write(App::request("deposit", "5000m") + App::request("listen", "5000m"));
    EXPECT_EQ(app.answer().result_int(), 200u);
    app.wire.write(App::request("listen", "300m"));  // behind nothing that takes long
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(app.answer().result_int(), 200u);
}

TEST(Ahead, OnlyWholeRequestsCountAndEachWithItsOwnTime) {
    const std::string first = App::request("deposit", "500m", "body"),
                      second = App::request("listen", "250u");
    const std::string none = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string all = first + none + second;
    for (std::size_t size = 0; size <= all.size(); ++size) {
        const std::vector<Millis> times = deadlines_of_complete_requests(asio::buffer(all.data(), size));
        const std::size_t whole =
            (size >= first.size()) + (size >= first.size() + none.size()) + (size == all.size());
        ASSERT_EQ(times.size(), whole) << size;
        if (whole > 0) {
            EXPECT_EQ(times[0], 500);
        }
        if (whole > 1) {
            EXPECT_EQ(times[1], std::numeric_limits<Millis>::infinity());
        }
        if (whole > 2) {
            EXPECT_EQ(times[2], 0.25);
        }
    }
}

// ---- The wall clock steps
// ------------------------------------------------------------------------------------

// A server that starts after a step tells its start by the clock as it is then. It is cold all the same, and
// warm in time.
TEST(WallClock, AStepNeitherHidesThatAServerIsColdNorKeepsItCold) {
    constexpr Millis kHour = 3600e3, kWarmWithin = 20000;
    const auto share_of_new = [&](Millis step, Millis age) {
        // The slower of two equal queues is picked less: a warm new one is then the better.
        FakeServer new_one, old_one([](Wire&w, const HttpRequest&, int) {
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
            return w.respond(200, "fine"), true;
        });
        json config = a_config(kNowhere, {host("s1", old_one.at())});
        config["settings"]["rules"] = {
            {"cold-from", 0.02}, {"warm-within-ms", kWarmWithin}, {"fall-multiple", 2}};
        House house(config);
        house.clock.step_wall(step);
        json fresh = host("s2", new_one.at());
        fresh["born_ms"] = std::floor(house.clock.now() + step);
        house.tell({host("s1", old_one.at()), fresh});
        house.turn();
        house.clock.skip(age);
        App app(house.listener.endpoint());
        for (int i = 0; i < 60; ++i) EXPECT_EQ(house.ask(app, App::request("listen")).result_int(), 200u);
        return static_cast<double>(new_one.seen().size()) / 60;
    };
    for (const Millis step : {0.0, -kHour, kHour, -5000.0, 5000.0}) {
        SCOPED_TRACE(step);
        EXPECT_LT(share_of_new(step, 0), 0.2) << "just started";
        EXPECT_GT(share_of_new(step, kWarmWithin), 0.2) << "warm";
    }
}

// ---- A client that leaves --------------------------------------------------------------------------------

// Its leaving is in the kernel behind its request, and there is a connection to send on at once.
TEST(Departure, InTheKernelBehindTheRequestIsHeededBeforeItIsSentOn) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App first(house.listener.endpoint());
    ASSERT_EQ(house.ask(first, App::request("listen")).result_int(), 200u);
    for (const bool reset : {false, true}) {
        App app(house.listener.endpoint());
        ASSERT_EQ(house.ask(app, kHealth).result_int(), 200u);
        app.wire.write(App::request("listen"));
        reset ? app.wire.reset() : app.wire.socket.close();
        const auto left = house.sidecar.totals().client_disconnects;
        ASSERT_TRUE(house.until(
            [&] { return house.sidecar.totals().client_disconnects > left || server.seen().size() > 1; }));
    }
    EXPECT_TRUE(house.until([&] { return house.sidecar.usage().attempts == 0; }));
    EXPECT_EQ(server.seen().size(), 1u);
}

// It leaves while the connection to the server comes up: the last moment is before the first byte.
TEST(Departure, WhileAConnectionComesUpIsHeededBeforeItIsWrittenTo) {
    FakeServer server;
    Bench bench({1000, 15000, 10, 0});
    bench.may_write = [&](AttemptKey key) { return bench.upstream.withdraw_request(key.id), true; };
    bench.send(1, server.at());
    bench.run();
    EXPECT_EQ(bench.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_EQ(bench.upstream.open(), 0u);
    EXPECT_TRUE(server.seen().empty());
}

TEST(Departure, IsLookedForWhenAConnectionHasComeUp) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint());
    ASSERT_EQ(house.ask(app, kHealth).result_int(), 200u);
    app.wire.write(App::request("listen"));
    // The connection is up in the kernel, and nobody here knows yet; nor that the client then leaves.
    while (house.sidecar.usage().connections == 0) house.io.restart(), house.io.run_one();
    app.wire.socket.close();
    ASSERT_TRUE(house.until([&] { return house.sidecar.totals().client_disconnects == 1; }));
    EXPECT_TRUE(house.until([&] { return house.sidecar.usage().requests == 0; }));
    EXPECT_TRUE(server.seen().empty());
}

// A request of which a part has gone out, as much as the kernels hold. Its server reads once it is told to,
// and counts.
struct PartWritten {
    static constexpr std::size_t kWhole = 64 << 20;
    explicit PartWritten(Millis time = 60000) {
        bench.send(1, text_of(server.at), kWhole, bench.clock.now() + time);
        while (bench.io.run_one_for(std::chrono::milliseconds(300)) > 0) {
        }
    }
    std::promise<void> go;
    std::promise<std::size_t> came;
    Acceptor server{[this](Wire& wire) {
                        go.get_future().wait();
                        came.set_value(wire.rest().size());
                    },
                    2048};
    Bench bench{{1000, 15000, 10, 0}};
};

// What is not written whole has not run, and never will: it is withdrawn, also where attempts may not be
// cancelled.
TEST(Departure, WithdrawsWhatIsWrittenInPart) {
    const auto check = [&](const char* how, Outcome outcome, const std::function<void(Bench&)>& end) {
        SCOPED_TRACE(how);
        PartWritten request;
        end(request.bench);
        EXPECT_EQ(request.bench.outcomes, std::vector<Outcome>{outcome});
        EXPECT_EQ(request.bench.upstream.open(), 0u);
        request.go.set_value();
        EXPECT_LT(request.came.get_future().get(), PartWritten::kWhole);
    };
    check("its client left", Outcome::not_sent, [](Bench& b) { b.upstream.withdraw_request(b.last); });
    check("cancelled", Outcome::not_sent, [](Bench& b) { b.upstream.cancel({b.last, 0}); });
    check("expired", Outcome::connect_failure, [](Bench& b) { b.upstream.expire({b.last, 0}); });
}

// Its leaving may be in the kernel, unread, when there is room for the next part.
TEST(Departure, IsLookedForBeforeEachFurtherPart) {
    PartWritten request;
    request.bench.may_write = [](AttemptKey) { return false; };
    request.go.set_value();
    request.bench.run();
    EXPECT_EQ(request.bench.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_LT(request.came.get_future().get(), PartWritten::kWhole);
}

// What a client sends ahead must not hide that it leaves, however much it is.
TEST(Departure, BehindAnyAmountSentAheadIsSeen) {
    for (const std::size_t ahead : {40u << 10, 100u << 10, 1000u << 10}) {
        SCOPED_TRACE(ahead);
        std::promise<bool> closed;
        FakeServer server([&](Wire& wire, const HttpRequest&, int) {
            closed.set_value(wire.ended());
            return false;
        });
        House house(a_config(kNowhere, {host("s1", server.at())}));
        auto app = std::make_unique<App>(house.listener.endpoint());
        app->wire.write(App::request("listen"));
        ASSERT_TRUE(house.until([&] { return server.seen().size() == 1; }));
        std::string more;
        while (more.size() < ahead) more += App::request("listen");
        std::thread client([&] { app->wire.write(more), app.reset(); });
        EXPECT_TRUE(house.until([&] { return house.sidecar.totals().client_disconnects == 1; }));
        client.join();
        EXPECT_TRUE(closed.get_future().get());
        EXPECT_EQ(server.seen().size(), 1u) << "nor is anything sent on that waited behind it";
        EXPECT_EQ(house.listener.connections(), 0u);
    }
}

// And soon enough: of what a kernel holds for a sender, 4 MB, all is thrown away within 0.3 s, six looks. A
// look is taken, and counted, where nothing moves any more without it.
TEST(Departure, BehindAllThatAKernelHoldsIsSeenWithinSixLooks) {
    std::promise<void> over;
    std::shared_future<void> end = over.get_future().share();
    FakeServer server([&](Wire&, const HttpRequest&, int) { return end.wait(), false; });
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint());
    app.wire.write(App::request("listen"));
    ASSERT_TRUE(house.until([&] { return server.seen().size() == 1; }));
    std::size_t left = 4 << 20;
    const std::string much(64 << 10, 'x');
    const auto push = [&] {
        const int socket = app.wire.socket.native_handle();
        for (ssize_t n = 1; left > 0 && n > 0; left -= n > 0 ? static_cast<std::size_t>(n) : 0)
            n = ::send(socket, much.data(), std::min(left, much.size()), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (left == 0) ::shutdown(socket, SHUT_WR);
    };
    int looks = 0;
    ASSERT_TRUE(house.until([&] {
        do push(), house.io.restart();
        while (house.io.poll() > 0);
        if (house.sidecar.totals().client_disconnects == 1) return true;
        house.io.restart();
        if (house.io.run_for(std::chrono::milliseconds(5)) == 0) house.listener.check_deadlines(), ++looks;
        return false;
    }));
    EXPECT_LE(looks, 6);
    over.set_value();
}

// One whole request may wait behind another; more closes the connection after the answer that is owed.
TEST(Departure, WhatIsSentAheadIsServedInTurnUpToABound) {
    std::promise<void> go;
    std::shared_future<void> gone = go.get_future().share();
    FakeServer server(
        [&](Wire& wire, const HttpRequest&, int) { return gone.wait(), wire.respond(200, "fine"), true; });
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint()), flood(house.listener.endpoint());
    app.wire.write(App::request("listen"));
    flood.wire.write(App::request("listen"));
    ASSERT_TRUE(house.until([&] { return server.seen().size() == 2; }));
    app.wire.write(App::request("deposit", "25000m", std::string(60000, 'x')));
    std::atomic<bool> written{false};
    std::thread client([&] { flood.wire.write(std::string(400 << 10, 'x')), written = true; });
    // All of the flood has been taken from its own kernel, and so most of it from the house's.
    ASSERT_TRUE(house.until([&] {
        int unsent = 1;
        house.listener.check_deadlines();
        ::ioctl(flood.wire.socket.native_handle(), SIOCOUTQ, &unsent);
        return written && unsent == 0;
    }));
    client.join();
    go.set_value();
    ASSERT_TRUE(house.until([&] { return house.sidecar.totals().served == 3; }));
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(server.seen().back().body().size(), 60000u);
    const HttpResponse last = house.answer(flood);
    EXPECT_EQ(last.result_int(), 200u);
    EXPECT_FALSE(last.keep_alive());
    EXPECT_TRUE(house.until([&] { return stirs(flood.wire); }));
    EXPECT_TRUE(flood.wire.ended());
}

// What is held ahead counts against the memory for bodies, and no longer than it is held.
TEST(Departure, WhatIsHeldAheadSharesTheMemoryAndGivesItBack) {
    std::promise<void> go;
    std::shared_future<void> gone = go.get_future().share();
    FakeServer server(
        [&](Wire& wire, const HttpRequest&, int) { return gone.wait(), wire.respond(200, "fine"), true; });
    House house(a_config(kNowhere, {host("s1", server.at())}), {400, 90000});
    const std::string body(60000, 'x');
    auto ahead = std::make_unique<App>(house.listener.endpoint());
    App other(house.listener.endpoint());
    ahead->wire.write(App::request("listen"));
    ASSERT_TRUE(house.until([&] { return server.seen().size() == 1; }));
    ahead->wire.write(App::request("deposit", "25000m", body));
    for (int i = 0; i < 40; ++i) house.turn();
    EXPECT_EQ(house.ask(other, App::request("deposit", "25000m", body)).result_int(), 503u);
    ahead.reset();
    ASSERT_TRUE(house.until([&] { return house.sidecar.totals().client_disconnects == 1; }));
    App again(house.listener.endpoint());
    go.set_value();
    EXPECT_EQ(house.ask(again, App::request("deposit", "25000m", body)).result_int(), 200u);
}

// ---- A connection that is closed -------------------------------------------------------------------------

// Its time is up at the moment in which its request has come and was not read yet.
TEST(Closing, ForSilenceTakesNoRequestThatHasJustCome) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint());
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 1; }));
    house.clock.skip(2600);
    app.wire.write(App::request("listen"));
    house.listener.check_deadlines();
    EXPECT_EQ(house.answer(app).result_int(), 200u);
}

TEST(Closing, ForSilenceHappensStill) {
    House house(a_config(kNowhere, {host("s1", kNowhere)}));
    App app(house.listener.endpoint());
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 1; }));
    house.clock.skip(2600);
    house.listener.check_deadlines();
    EXPECT_EQ(house.listener.connections(), 0u);
}

// A slow client makes room for a new one, but not once all of its request is there.
TEST(Closing, ForRoomTakesNoRequestThatHasJustComeWhole) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}), {1, 1 << 20});
    App slow(house.listener.endpoint());
    const std::string text = App::request("listen");
    slow.wire.write(text.substr(0, 20));
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 1; }));
    house.turn();
    house.clock.skip(200);
    App late(house.listener.endpoint());  // it is noticed first
    slow.wire.write(text.substr(20));
    EXPECT_EQ(house.answer(slow).result_int(), 200u);
    EXPECT_EQ(house.ask(late, App::request("listen")).result_int(), 200u);
}

TEST(Closing, ForRoomOfASlowClientHappensStill) {
    House house(a_config(kNowhere, {host("s1", kNowhere)}), {1, 1 << 20});
    App slow(house.listener.endpoint());
    slow.wire.write("GET /listen HTTP/1.1\r\n");
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 1; }));
    house.turn();
    house.clock.skip(200);
    App late(house.listener.endpoint());
    ASSERT_TRUE(house.until([&] { return stirs(slow.wire); }));
    EXPECT_TRUE(slow.wire.ended());
}

// ---- SIGTERM ---------------------------------------------------------------------------------------------

// The answer was on its way when the drain began: it promised to keep the connection, and nobody else closes
// it.
TEST(Drain, ClosesAConnectionWhoseAnswerWasOnItsWay) {
    House house(a_config(kNowhere, {host("s1", kNowhere)}));
    App app(house.listener.endpoint());
    app.wire.write(kHealth);
    while (!stirs(app.wire))
        house.io.restart(), house.io.run_one();  // it is written, and not yet known to be
    house.listener.drain(house.clock.now() + 1000);
    EXPECT_EQ(house.listener.connections(), 1u);
    EXPECT_TRUE(app.answer().keep_alive());
    house.turn();
    EXPECT_EQ(house.listener.connections(), 0u);
}

// Closing quiet connections, it leaves one whose request is in the kernel, and serves that.
// One that has just come up is about to carry a request: whoever opens it sends at once.
TEST(Drain, LeavesANewConnectionTimeForItsFirstRequest) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App fresh(house.listener.endpoint());
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 1; }));
    house.listener.drain(house.clock.now() + 5000);
    house.io.restart(), house.io.run_for(std::chrono::milliseconds(20));
    EXPECT_EQ(house.ask(fresh, App::request("listen")).result_int(), 200u);
    // One that sends nothing all the same is closed soon.
    App silent(house.listener.endpoint());
    ASSERT_TRUE(house.until([&] { return house.listener.connections() > 0; }));
    EXPECT_TRUE(house.until([&] {
        house.listener.close_idle();
        return house.listener.connections() == 0;
    }));
}

TEST(Drain, LeavesAConnectionWhoseRequestIsUnread) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App app(house.listener.endpoint()), queued(house.listener.endpoint());
    ASSERT_EQ(house.ask(app, kHealth).result_int(), 200u);
    app.wire.write(App::request("deposit"));
    App waiting(house.listener.endpoint());  // in the queue of those to be accepted
    waiting.wire.write(App::request("deposit"));
    house.listener.drain(house.clock.now() + 20000);
    house.listener.stop_accepting();
    for (App* each : {&app, &waiting}) {
        SCOPED_TRACE(each == &app ? "idle" : "in the queue");
        const HttpResponse response = house.answer(*each);
        EXPECT_EQ(response.result_int(), 200u);
        EXPECT_FALSE(response.keep_alive());
    }
}

// With no descriptor left for it, what waits in the queue is taken as soon as there is one.
TEST(Drain, EmptiesTheQueueOnceThereAreDescriptors) {
    FakeServer server;
    House house(a_config(kNowhere, {host("s1", server.at())}));
    App waiting(house.listener.endpoint());
    waiting.wire.write(App::request("deposit"));
    house.listener.drain(house.clock.now() + 20000);
    {
        const NoDescriptors none;
        EXPECT_FALSE(house.listener.stop_accepting());
    }
    EXPECT_TRUE(house.listener.stop_accepting());
    EXPECT_EQ(house.answer(waiting).result_int(), 200u);
}

// A request may cross the close of a connection that rests, and its client then asks on a new one: whoever is
// closed, at the last, finds the door open. Only if this thread sleeps through the time in between it is
// tried again.
TEST(Drain, WhoeverIsClosedWhileRestingMayAskOnANewConnection) {
    FakeServer server;
    const auto served = [&] {
        Running sidecar(a_config(kNowhere, {host("s1", server.at())}));
        sidecar.stop([] {});
        sidecar.in_loop([] { return 0; });
        App resting(sidecar.at);
        EXPECT_TRUE(resting.wire.ended());
        try {
            App again(sidecar.at);
            return again.ask(App::request("deposit")).result_int() == 200u;
        } catch (const boost::system::system_error&) {
            return false;  // the door is closed
        }
    };
    bool once = false;
    for (int i = 0; i < 10 && !once; ++i) once = served();
    EXPECT_TRUE(once);
}

json with_deadlines(json config, int milliseconds) {
    for (auto& c : config["settings"]["classes"]) c["give-up-ms"] = milliseconds;
    return config;
}

// The kill may come 3.7 s after the signal, however long the deadlines.
TEST(Drain, WhatComesLateIsAnsweredBeforeTheKillOfLongDeadlines) {
    FakeServer server;
    Running sidecar(with_deadlines(a_config(kNowhere, {host("s1", server.at())}), 10000));
    App app(sidecar.at);
    ASSERT_EQ(app.ask(kHealth).result_int(), 200u);
    const std::string text = App::request("deposit", "10000m");
    app.wire.write(text.substr(0, 30));
    // Begun, so that it is not closed as quiet.
    while (sidecar.in_loop([&] { return !sidecar.node().listener().reading(); })) {
    }
    sidecar.stop([] {});
    sidecar.in_loop([] { return 0; });
    EXPECT_EQ(app.ask(text.substr(30)).result_int(), 200u);
    const std::string left(server.seen().at(0)["X-Time-Left"]);
    EXPECT_LE(std::stoll(left), 3500000);
}

// Half a request is told off before the process ends: its connection would be reset without an answer.
TEST(Drain, HalfARequestIsToldOffBeforeTheEnd) {
    Running sidecar(with_deadlines(a_config(kNowhere, {host("s1", kNowhere)}), 300));
    App app(sidecar.at);
    app.wire.write("POST /deposit HTTP/1.1\r\nHost: x\r\n");
    while (sidecar.in_loop([&] { return !sidecar.node().listener().reading(); })) {
    }
    std::promise<bool> told;
    sidecar.stop([&] { told.set_value(stirs(app.wire)); });
    EXPECT_TRUE(told.get_future().get());
    EXPECT_EQ(app.answer().result_int(), 408u);
}

// A configuration with shorter deadlines came before the signal; what began before it keeps its own.
TEST(Drain, WaitsForTheDeadlinesOfAnOlderConfiguration) {
    FakeServer server([](Wire& wire, const HttpRequest&, int) { return wire.ended(), false; });
    json config = with_deadlines(a_config(kNowhere, {host("s1", server.at())}), 2500);
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
    sidecar.stop([&] { unanswered.set_value(sidecar.node().sidecar().pending_requests()); });
    EXPECT_EQ(unanswered.get_future().get(), 0u);
    EXPECT_EQ(app.answer().result_int(), 502u);
}

// SIGTERM again while draining: the end stays where it was, and whoever waits for it is told once.
TEST(Drain, ASecondSignalChangesNothing) {
    FakeServer server;
    Running sidecar(a_config(kNowhere, {host("s1", server.at())}));
    std::promise<int> done;
    sidecar.stop([&] { done.set_value(1); });
    sidecar.stop([&] { done.set_value(2); });
    EXPECT_EQ(done.get_future().get(), 1);
}

// The list is followed to the end: what comes while draining does not go to a server that drains.
TEST(Drain, StillFollowsTheList) {
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
    discovery.wait_for(2);  // the next call goes out as the list is taken over, in the same turn
    sidecar.in_loop([] { return 0; });
    EXPECT_EQ(app.ask(text.substr(30)).result_int(), 200u);
    EXPECT_TRUE(old.seen().empty());
    EXPECT_EQ(fresh.seen().size(), 1u);
}

// ---- Attempts --------------------------------------------------------------------------------------------

// A second answer comes with the first: it must not be the next request's.
TEST(Attempt, WhatComesBehindAnAnswerIsNobodys) {
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        number == 0 ? wire.write(first + first) : wire.respond(200, "next");
        return true;
    });
    Bench bench({1000, 15000, 10, 0});
    for (int i = 0; i < 2; ++i) bench.send(1, server.at()), bench.run();
    EXPECT_EQ(bench.bodies, (std::vector<std::string>{"first", "next"}));
    EXPECT_EQ(server.connections(), 2);
}

// The first attempt has broken, a connection for the second comes up, and by then the servers have forgotten
// the key: what is written now would run twice.
TEST(Attempt, NothingIsWrittenOnceTheServersHaveForgottenItsKey) {
    std::promise<void> go;
    FakeServer first(
        [&](Wire& wire, const HttpRequest&, int) { return go.get_future().wait(), wire.reset(), false; });
    FakeServer second;
    json config = a_config(kNowhere, {host("s1", first.at())});
    config["settings"]["classes"][2]["dedup-window-ms"] = 10000;
    House house(config);
    App app(house.listener.endpoint());
    app.wire.write(App::request("annotate", "25000m", "x"));
    ASSERT_TRUE(house.until([&] { return first.seen().size() == 1; }));
    house.tell({host("s1", first.at(), "DRAINING"), host("s2", second.at())});
    house.turn();
    go.set_value();
    // The second is connecting: in the kernel its connection is up, and nobody here knows yet.
    while (house.sidecar.totals().attempts < 2) house.io.restart(), house.io.run_one();
    house.clock.skip(10000);
    EXPECT_EQ(house.answer(app).result_int(), 502u);
    EXPECT_TRUE(second.seen().empty());
}

// The same with a request of which a part has gone out.
TEST(Attempt, TheRestIsNotWrittenOnceTheServersHaveForgottenItsKey) {
    PartWritten request(10000);
    request.bench.clock.skip(10000);
    request.go.set_value();
    request.bench.run();
    EXPECT_EQ(request.bench.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_LT(request.came.get_future().get(), PartWritten::kWhole);
}

// ---- Lists -----------------------------------------------------------------------------------------------

// What a server turns away after the list has told that it drains is tried elsewhere, and with nowhere else
// refused.
TEST(List, WhatIsRetriedDoesNotGoToADrainingServer) {
    for (const bool other : {true, false}) {
        SCOPED_TRACE(other ? "another is there" : "no other is there");
        std::promise<void> go;
        std::shared_future<void> gone = go.get_future().share();
        FakeServer old([&](Wire& wire, const HttpRequest&, int) {
            gone.wait();
            return wire.respond(503, "", "X-Unprocessed: 1\r\n"), true;
        });
        FakeServer fresh;
        FakeDiscovery discovery;
        Running sidecar(a_config(discovery.at(), {host("s1", old.at())}));
        discovery.wait_for(1);
        App app(sidecar.at);
        app.wire.write(App::request("deposit"));
        ASSERT_TRUE(old.wait_for(1));
        std::vector<json> now{host("s1", old.at(), "DRAINING")};
        if (other) now.push_back(host("s2", fresh.at()));
        discovery.say(6, false, now);
        discovery.wait_for(2);
        sidecar.in_loop([] { return 0; });
        go.set_value();
        EXPECT_EQ(app.answer().result_int(), other ? 200u : 503u);
        EXPECT_EQ(old.seen().size(), 1u);
        EXPECT_EQ(fresh.seen().size(), other ? 1u : 0u);
    }
}

// Its connection is withdrawn because its server drains: of the attempts that it has left none is spent on
// that server.
TEST(List, WhatIsWithdrawnIsPlacedAnewByTheList) {
    Silent draining;
    FakeServer fresh;
    json config = a_config(kNowhere, {host("s1", draining.at())});
    config["settings"]["limits"]["max-attempts"] = 2;
    House house(config);
    App app(house.listener.endpoint());
    app.wire.write(App::request("deposit"));
    ASSERT_TRUE(house.until([&] { return house.sidecar.usage().connections == 1; }));
    house.tell({host("s1", draining.at(), "DRAINING"), host("s2", fresh.at())});
    EXPECT_EQ(house.answer(app).result_int(), 200u);
    EXPECT_EQ(house.sidecar.totals().attempts, 2u);
}

// It has moved to another address, and whoever is at the old one by now is not meant.
TEST(List, AServerThatMovesTakesAlongWhatStillConnects) {
    Silent before;
    FakeServer after;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", before.at())}));
    discovery.wait_for(1);
    App app(sidecar.at);
    app.wire.write(App::request("deposit"));
    while (sidecar.usage().connections == 0) {
    }
    discovery.say(6, false, {host("s1", after.at())});
    const auto start = steady_clock::now();
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_LT(std::chrono::duration<double>(steady_clock::now() - start).count(), 15);  // connecting takes 20
    EXPECT_EQ(after.seen().size(), 1u);
}

// Its call has failed and it pauses; the configuration then moves it.
TEST(List, DiscoveryThatMovesDuringAPauseIsAskedAtOnce) {
    asio::io_context io(1);
    FakeDiscovery fresh;
    fresh.say(1, true, {});
    bool failed = false, told = false;
    DiscoveryClient discovery(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 1), std::nullopt, true, 7,
        {[&](const EndpointList&) { told = true, io.stop(); }, [&] { failed = true, io.stop(); }});
    discovery.watch(true);
    io.run_for(kPatience);
    ASSERT_TRUE(failed);
    discovery.set_address(endpoint_of(fresh.at()));
    io.restart();
    io.run_for(kPatience);
    EXPECT_TRUE(told);
    fresh.wait_for(2);  // and a watch goes on there
}

// A watch that fell silent has cost its time already. The pause of a call that was turned away is for a
// discovery with too many callers; behind a silence it would only make the list older.
TEST(List, ACallGivenUpForItsTimeIsRepeatedWithoutBeingToldAsFailed) {
    asio::io_context io(1);
    FakeDiscovery silent;
    silent.fall_silent();
    silent.say(6, false, {});
    int failed = 0;
    bool told = false;
    DiscoveryClient discovery(io, endpoint_of(silent.at()), 5, true, 7,
                              {[&](const EndpointList&) { told = true, io.stop(); }, [&] { ++failed; }});
    discovery.watch(true);
    io.run_for(kPatience);
    EXPECT_TRUE(told);
    EXPECT_EQ(failed, 0);
}

// ---- Configurations --------------------------------------------------------------------------------------

// It has begun under one configuration and comes, with its last byte, under another.
TEST(Generation, ARequestBelongsToTheOneInForceAtItsLastByte) {
    FakeServer server;
    json config = a_config(kNowhere, {host("s1", server.at())});
    House house(config);
    App gone(house.listener.endpoint()), once(house.listener.endpoint()), same(house.listener.endpoint());
    struct {
        App* app;
        std::string text;
        unsigned status;
    } all[] = {{&gone, App::request("listen"), 400},
               {&once, App::request("annotate", "25000m", "x"), 400},  // may not have a key any more
               {&same, App::request("deposit", "25000m", "x"), 200}};
    for (auto& each : all) each.app->wire.write(each.text.substr(0, each.text.size() - 1));
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 3; }));
    house.turn();
    config["settings"]["classes"].erase(0);
    config["settings"]["classes"][1]["effect"] = "once";
    house.sidecar.apply(House::snapshot_of(config, 2), {20000, 15000, 50, 0});
    for (auto& each : all)
        EXPECT_EQ(house.ask(*each.app, each.text.substr(each.text.size() - 1)).result_int(), each.status);
    EXPECT_EQ(server.seen().size(), 1u);
}

// The same name with another effect: what may not run twice is not sent twice because it once might have
// been.
TEST(Generation, AClassOfTheSameNameHasItsNewEffect) {
    FakeServer server([](Wire& wire, const HttpRequest&, int number) {
        return number == 0 ? (wire.reset(), false) : (wire.respond(200, "fine"), true);
    });
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["settings"]["classes"][2]["effect"] = "by_key";
    House house(config);
    App app(house.listener.endpoint());
    const std::string text =
        "POST /annotate HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c1\r\nX-Service-Class: "
        "annotate\r\nX-Time-Left: 25000m\r\nContent-Length: 1\r\n\r\nx";
    app.wire.write(text.substr(0, 60));  // not yet its head's end
    ASSERT_TRUE(house.until([&] { return house.listener.connections() == 1; }));
    house.turn();
    config["settings"]["classes"][2]["effect"] = "once";
    house.sidecar.apply(House::snapshot_of(config, 2), {20000, 15000, 50, 0});
    EXPECT_EQ(house.ask(app, text.substr(60)).result_int(), 502u);
    EXPECT_EQ(server.seen().size(), 1u);
}

}  // namespace
}  // namespace ochregrade::sidecar
