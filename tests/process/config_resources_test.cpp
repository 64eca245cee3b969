// Tests of configuration changes that affect descriptors, sockets or deadlines.
#include <sys/resource.h>

#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(ConfigChange, WithoutADescriptorForItsSocketChangesNothing) {
    FakeServer server;
    json config = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    config["settings"]["limits"]["may-tell"] = true;
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const json before = ops.get("/v1/config");
    json next = config;
    {
        asio::io_context io(1);
        udp::socket probe(io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        next["peer_listen"] = text_of(probe.local_endpoint());
    }
    next["peers"] = {next["peer_listen"]};
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlim_t was = limit.rlim_cur;
    const int top = ::dup(0);
    ::close(top);
    limit.rlim_cur = static_cast<rlim_t>(top);  // no further descriptor can be opened
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
    const json response = ops.post("/v1/config", next, 422);
    limit.rlim_cur = was;
    setrlimit(RLIMIT_NOFILE, &limit);
    EXPECT_EQ(response.at("complaints").at(0).at("field"), "peer_listen") << response;
    EXPECT_EQ(ops.get("/v1/config"), before);
    EXPECT_EQ(ops.post("/v1/config", next).at("generation"), 2) << "applied once a descriptor is free";
}

TEST(ConfigChange, LimitLoweredBelowUseEndsNoRequest) {
    std::promise<void> go;
    std::shared_future<void> gone = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        gone.wait();
        return wire.respond(200, "fine"), true;
    });
    json config = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    std::vector<std::unique_ptr<App>> apps;
    for (int i = 0; i < 60; ++i) {
        apps.push_back(std::make_unique<App>(sidecar.at));
        apps.back()->wire.write(App::request("deposit"));
    }
    ASSERT_TRUE(server.wait_for(60));
    config["limits"]["sockets"] = 64;  // leaves 19 connections for clients and 13 for servers
    ops.post("/v1/config", config);
    EXPECT_EQ(sidecar.usage().connections, 60u) << "requests in flight must not be cut";
    const auto start = steady_clock::now();
    go.set_value();
    for (auto& app : apps) EXPECT_EQ(app->answer().result_int(), 200u);
    EXPECT_TRUE(until([&] { return sidecar.usage().connections <= 13; }));
    EXPECT_LT(std::chrono::duration<double>(steady_clock::now() - start).count(), 10)
        << "connections must not stay open until the idle timeout";
    EXPECT_TRUE(until([&] { return ops.get("/v1/status").at("connections").at("clients") <= 20; }));
    apps.clear();
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
}

TEST(ConfigChange, DuringTheDrainIsAppliedAndDoesNotProlongIt) {
    std::promise<void> go;
    std::shared_future<void> gone = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        gone.wait();
        return wire.respond(200, "fine"), true;
    });
    json config = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    for (auto& c : config["settings"]["classes"]) c["give-up-ms"] = 2000;
    Running sidecar(config);
    Operator ops(sidecar.admin);
    App held(sidecar.at);
    held.wire.write(App::request("deposit"));
    ASSERT_TRUE(server.wait_for(1));
    std::promise<void> done;
    const auto start = steady_clock::now();
    sidecar.stop([&] { done.set_value(); });
    json next = without_class(config, "listen");
    for (auto& c : next["settings"]["classes"]) c["give-up-ms"] = 60000;
    EXPECT_EQ(ops.post("/v1/config", next).at("generation"), 2);
    const bool early = std::chrono::duration<double>(steady_clock::now() - start).count() < 0.3;
    std::unique_ptr<App> late;
    if (early) {  // later than 0.6 s after the stop, as on a stalled machine, no connection is accepted
        late = std::make_unique<App>(sidecar.at);
        late->wire.write(App::request("deposit"));
    }
    EXPECT_EQ(held.answer().result_int(), 502u) << "at its own deadline";
    held.wire.socket.close();
    if (early) {
        EXPECT_EQ(late->answer().result_int(), 502u)
            << "the late request must get a response before the drain ends";
        late->wire.socket.close();
    }
    ASSERT_EQ(done.get_future().wait_for(kPatience), std::future_status::ready);
    const double took = std::chrono::duration<double>(steady_clock::now() - start).count();
    EXPECT_LT(took, 15) << "the deadline of 60 s of the new configuration must not apply";
    go.set_value();
}

// Datagrams to peers must use the peer indices and the addresses of the configuration in force.
TEST(ConfigChange, MayChangePeerIndicesAndAddresses) {
    asio::io_context io(1);
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket a(io, any), b(io, any);
    std::string own[2];
    for (auto& at : own) {
        udp::socket probe(io, any);
        at = text_of(probe.local_endpoint());
    }
    json config = with_admin(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    config["settings"]["limits"]["may-tell"] = true;
    config["peer_listen"] = own[0];
    config["peers"] = {own[0], text_of(a.local_endpoint()), text_of(b.local_endpoint())};
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const auto send = [&](std::uint32_t to) {
        sidecar.in_loop([&] {
            sidecar.node().peers()->send(to, {1, 2, 3});
            return 0;
        });
    };
    std::array<std::uint8_t, 16> bytes{};
    send(1);
    EXPECT_EQ(a.receive(asio::buffer(bytes)), 3u);
    config["peer_listen"] = own[1];
    config["peers"] = {text_of(b.local_endpoint()), own[1]};
    ops.post("/v1/config", config);
    send(0);
    udp::endpoint from;
    EXPECT_EQ(b.receive_from(asio::buffer(bytes), from), 3u);
    EXPECT_EQ(text_of(from), own[1]) << "sent from the new address";
    config["settings"]["limits"]["may-tell"] = false;
    ops.post("/v1/config", config);
    EXPECT_TRUE(sidecar.in_loop([&] { return sidecar.node().peers() == nullptr; }));
}

}  // namespace
}  // namespace ochregrade::sidecar
