// Limits of the listener: which connections are closed at the read timeout, which are evicted for new
// connections, the memory for bodies, and a shortage of descriptors.
#include "proxy/listener.hpp"

#include <sys/resource.h>

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

// The read timeout (2.5 s) of a connection expires when the connection's request has arrived but has not been
// read yet: the connection is not closed.
TEST(ReadTimeout, DoesNotCloseConnectionWithUnreadRequest) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 1; }));
    sidecar.clock.skip(2600);
    app.wire.write(App::request("listen"));
    sidecar.listener.check_deadlines();
    EXPECT_EQ(sidecar.answer(app).result_int(), 200u);
}

TEST(ReadTimeout, ClosesSilentConnection) {
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}));
    App app(sidecar.listener.endpoint());
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 1; }));
    sidecar.clock.skip(2600);
    sidecar.listener.check_deadlines();
    EXPECT_EQ(sidecar.listener.connections(), 0u);
}

// A slow client's connection is evicted for a new one, but not if its whole request is in the kernel.
TEST(ConnectionEviction, DoesNotCloseConnectionWithCompleteUnreadRequest) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}), {1, 1 << 20});
    App slow(sidecar.listener.endpoint());
    const std::string text = App::request("listen");
    slow.wire.write(text.substr(0, 20));
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 1; }));
    sidecar.turn();
    sidecar.clock.skip(200);
    App late(sidecar.listener.endpoint());  // handled before the rest of the slow request below
    slow.wire.write(text.substr(20));
    EXPECT_EQ(sidecar.answer(slow).result_int(), 200u);
    EXPECT_EQ(sidecar.ask(late, App::request("listen")).result_int(), 200u);
}

TEST(ConnectionEviction, ClosesSlowClient) {
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}), {1, 1 << 20});
    App slow(sidecar.listener.endpoint());
    slow.wire.write("GET /listen HTTP/1.1\r\n");
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 1; }));
    sidecar.turn();
    sidecar.clock.skip(200);
    App late(sidecar.listener.endpoint());
    ASSERT_TRUE(sidecar.until([&] { return is_readable(slow.wire); }));
    EXPECT_TRUE(slow.wire.ended());
}

TEST(ConnectionEviction, ClosesIdleClientsForNewOnes) {
    FakeServer server;
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;  // 19 client connections at most
    Running sidecar(config);
    std::list<App> apps;
    for (int i = 0; i < 20; ++i) {
        apps.emplace_back(sidecar.at);
        ASSERT_EQ(apps.back().ask(App::request("listen")).result_int(), 200u) << i;
    }
}

// Near the connection limit, each connection is closed after its response, so that no idle connection
// prevents the next one from being accepted.
TEST(Listener, ClosesConnectionAfterResponseNearItsLimit) {
    FakeServer server;
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;
    Running sidecar(config);
    std::list<App> apps;
    bool kept = true;
    for (int i = 0; i < 40 && kept; ++i) {
        apps.emplace_back(sidecar.at);
        const HttpResponse response = apps.back().ask(App::request("listen"));
        ASSERT_EQ(response.result_int(), 200u) << i;
        kept = response.keep_alive();
    }
    EXPECT_FALSE(kept);
    EXPECT_GT(apps.size(), 10U);
}

// Silent connections are evicted first; connections in use are not evicted.
TEST(ConnectionEviction, ClosesSilentConnectionsBeforeUsedOnes) {
    FakeServer server;
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;
    Running sidecar(config);
    App in_use(sidecar.at);
    ASSERT_EQ(in_use.ask(App::request("listen")).result_int(), 200u);
    std::list<App> silent;
    for (int i = 0; i < 100; ++i) silent.emplace_back(sidecar.at);
    App late(sidecar.at);
    EXPECT_EQ(late.ask(App::request("listen")).result_int(), 200u);
    EXPECT_EQ(in_use.ask(App::request("listen")).result_int(), 200u);
}

// The memory for all bodies together is bounded, and released after use.
TEST(Listener, BodiesShareBoundedMemory) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["limits"] = {{"sockets", 256}, {"memory_mb", 1}};  // memory for one body of 64 KB
    Running sidecar(config);
    const std::string body(60000, 'x');
    App first(sidecar.at), second(sidecar.at), small(sidecar.at);
    first.wire.write(App::request("deposit", "25000m", body));
    ASSERT_TRUE(server.wait_for(1));
    EXPECT_EQ(second.ask(App::request("deposit", "25000m", body)).result_int(), 503u);
    small.wire.write(App::request("listen"));
    ASSERT_TRUE(server.wait_for(2));
    release.set_value();
    EXPECT_EQ(first.answer().result_int(), 200u);
    EXPECT_EQ(small.answer().result_int(), 200u);
    EXPECT_EQ(first.ask(App::request("deposit", "25000m", body)).result_int(), 200u);
}

// While all other connections are busy, a new connection is not evicted before its request has arrived.
TEST(ConnectionEviction, KeepsNewestConnectionWhileOthersAreBusy) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;  // 19 client connections at most
    Running sidecar(config);
    std::list<App> apps;
    for (std::size_t i = 0; i < 8; ++i) {
        apps.emplace_back(sidecar.at);
        if (i == 7)
            std::this_thread::sleep_for(std::chrono::milliseconds(100));  // the newest one is silent so long
        apps.back().wire.write(App::request("listen"));
        ASSERT_TRUE(server.wait_for(i + 1)) << i;
    }
    App late(sidecar.at);
    late.wire.write(App::request("listen"));
    release.set_value();
    for (App& app : apps) EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(late.answer().result_int(), 200u);
}

// A fleet of more than 1,024 sidecars with more than 1,024 endpoints: the last of 1,025 sidecars serves
// requests with a list of 1,025 endpoints, and applies changes of the list.
TEST(FleetSize, Supports1025SidecarsAndEndpoints) {
    constexpr int kFleetSize = 1025;
    FakeServer server, other;
    FakeDiscovery discovery;
    std::vector<json> hosts, peers;
    for (int i = 0; i < kFleetSize; ++i) {
        hosts.push_back(host(std::to_string(i), server.at()));
        peers.emplace_back(text_of(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(20000 + i))));
    }
    json config = a_config(discovery.at(), hosts);
    config["settings"]["siblings"] = kFleetSize;
    config["settings"]["my-number"] = kFleetSize - 1;
    config["settings"]["limits"]["may-tell"] = true;
    config["peer_listen"] = "127.0.0.1:0";
    config["peers"] = peers;
    Running sidecar(config);
    App app(sidecar.at);
    for (int i = 0; i < 50; ++i) ASSERT_EQ(app.ask(App::request("listen")).result_int(), 200u) << i;
    EXPECT_EQ(sidecar.usage().endpoints, static_cast<std::size_t>(kFleetSize));
    // All endpoints but one move to the address of `other`. Of the next 50 requests, at least 40 go to
    // moved endpoints.
    for (json& h : hosts) h["dial"] = other.at();
    hosts[0]["dial"] = server.at();
    discovery.say(6, true, hosts);
    discovery.wait_for(2);
    sidecar.in_loop([] { return 0; });
    const auto before = server.seen().size();
    for (int i = 0; i < 50; ++i) ASSERT_EQ(app.ask(App::request("listen")).result_int(), 200u) << i;
    EXPECT_GE(other.seen().size(), 40u);
    EXPECT_EQ(server.seen().size() + other.seen().size(), before + 50);
    discovery.say(7, true, {hosts[0]});
    discovery.wait_for(3);
    EXPECT_EQ(sidecar.usage().endpoints, 1u);
    ASSERT_EQ(app.ask(App::request("listen")).result_int(), 200u);
}

TEST(Listener, WaitsWithoutSpinningWhenOutOfDescriptors) {
    FakeServer server;
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App first(sidecar.at);
    ASSERT_EQ(first.ask(App::request("listen")).result_int(), 200u);
    const auto processor_seconds = [] {
        rusage used{};
        getrusage(RUSAGE_SELF, &used);
        return used.ru_utime.tv_sec + used.ru_stime.tv_sec +
               (used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
    };
    asio::io_context io;
    tcp::socket late(io, tcp::v4());
    const double used_before = processor_seconds();
    std::optional<NoDescriptors> none(std::in_place);
    late.connect(sidecar.at);  // the kernel completes the connect; the sidecar can't accept the connection
    const auto start = std::chrono::steady_clock::now();
    while (seconds_since(start) < 0.5) std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_EQ(first.ask(App::request("listen")).result_int(), 200u) << "open connections are still served";
    none.reset();
    EXPECT_LT(processor_seconds() - used_before, 0.25);
    Wire wire(std::move(late));
    wire.write(App::request("listen"));
    HttpResponse response;
    ASSERT_TRUE(wire.read(response));
    EXPECT_EQ(response.result_int(), 200u);
}

}  // namespace
}  // namespace ochregrade::sidecar
