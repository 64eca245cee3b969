// Configurations that change under load, over loopback sockets: the operators' endpoint, SIGHUP's path, and
// what clients and servers see of them.
#include <sys/resource.h>

#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

using std::chrono::steady_clock;
const std::string kNowhere = "127.0.0.1:1";

json with_admin(json config) {
    config["ochregrade"]["admin"]["listen"] = "127.0.0.1:0";
    return config;
}

template <class Done>
bool until(Done done) {
    const auto end = steady_clock::now() + kPatience;
    while (!done()) {
        if (steady_clock::now() > end) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

unsigned ask(const tcp::endpoint& at, const std::string& grade) {
    App app(at);
    return app.ask(App::request(grade)).result_int();
}

// What can be seen of a sidecar from outside that a refused candidate must leave as it is.
std::string seen_of(Running& sidecar, Operator& ops) {
    std::string all = ops.get("/v1/config").dump() + ops.get("/v1/config/history").dump();
    for (const char* grade : {"listen", "deposit", "annotate", "nothing"})
        (all += ' ') += std::to_string(ask(sidecar.at, grade));
    const auto limits = sidecar.in_loop([&] {
        const Node& node = sidecar.node();
        return std::to_string(node.discovery().seq()) + "/" + std::to_string(node.usage().endpoints);
    });
    return all + " " + limits;
}

TEST(BadCandidates, LeaveTheRunningConfigurationUntouched) {
    FakeServer server;
    FakeDiscovery discovery;
    json config = with_admin(a_config(discovery.at(), {host("s1", server.at())}));
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    discovery.wait_for(1);
    const std::string before = seen_of(sidecar, ops);
    const auto damaged = [&](const char* pointer, const json& value) {
        json bad = config;
        bad["settings"]["classes"].erase(0);  // that it would change much if it were taken
        bad["discovery"] = "127.0.0.1:2";
        bad[json::json_pointer(pointer)] = value;
        return bad;
    };
    const std::vector<std::pair<std::string, json>> table = {
        {"name", damaged("/name", "n7")},
        {"listen", damaged("/listen", "127.0.0.1:5")},
        {"ochregrade.admin.listen", damaged("/ochregrade/admin/listen", "127.0.0.1:5")},
        {"discovery", damaged("/discovery", "nowhere")},
        {"limits.sockets", damaged("/limits/sockets", 3)},
        {"limits.sockets", damaged("/limits/sockets", 1u << 30)},  // more than the system allows
        {"limits.memory_mb", damaged("/limits/memory_mb", -1)},
        {"peers[0]", damaged("/peers", json::array({"x"}))},
        {"ochregrade.trial.margin", damaged("/ochregrade/trial/margin", 2)},
        {"ochregrade.trial.min_samples", damaged("/ochregrade/trial/min_samples", 0)},
        {"settings.classes", damaged("/settings/classes", json::array())},
        {"settings.classes[0].effect", damaged("/settings/classes/0/effect", "twice")},
        {"settings.classes[1].on-time-ms", damaged("/settings/classes/1/on-time-ms", 0)},
        {"settings.classes[1].name", damaged("/settings/classes/1/name", "deposit")},
        {"settings.siblings", damaged("/settings/siblings", 0)},
        {"settings.limits.max-attempts", damaged("/settings/limits/max-attempts", 1e9)},
        {"settings.limits.idle-close-ms", damaged("/settings/limits/idle-close-ms", 1e300)},
        {"settings.rules.fall-multiple", damaged("/settings/rules", {{"fall-multiple", 0.5}})},
        {"settings.fees.probe", damaged("/settings/fees", {{"probe", -0.1}})},
    };
    std::uint64_t refused = 0;
    for (const auto& [field, bad] : table) {
        SCOPED_TRACE(field);
        const json said = ops.post("/v1/config", bad, 422);
        EXPECT_EQ(said.at("complaints").at(0).at("field"), field) << said.dump();
        file.replace(bad.dump());
        sidecar.reload();
        ++refused;
        ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("refused") == refused * 2; }));
        EXPECT_EQ(seen_of(sidecar, ops), before);
    }
    refused *= 2;
    for (const std::string& text : {config.dump().substr(0, 300), std::string(), std::string("[1,2]")}) {
        file.replace(text);
        sidecar.reload();
        ++refused;
        ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("refused") == refused; }));
        EXPECT_EQ(seen_of(sidecar, ops), before) << text;
    }
    json unknown = config;
    unknown["settings"]["clases"] = 1;
    EXPECT_EQ(ops.post("/v1/config", unknown, 422).at("complaints").at(0).at("field"), "settings.clases");
    EXPECT_EQ(discovery.wait_for(1).size(), 1u) << "the watch has not been touched";
}

TEST(Reload, TakesOverTheWholeFileAndTenAtOnceAreOne) {
    FakeServer server;
    json config = with_admin(a_config(kNowhere, {host("s1", server.at())}));
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    for (auto& c : config["settings"]["classes"])
        if (c["name"] == "listen") c["name"] = "hear";
    config["settings"]["platform-says-more"] = 1;
    file.replace(config.dump());
    sidecar.in_loop([&] {
        for (int i = 0; i < 10; ++i) sidecar.node().reload();
        return 0;
    });
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("applied") == 1; }));
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    const json changes = ops.get("/v1/status").at("changes");
    EXPECT_EQ(changes.at("applied"), 1) << changes;
    EXPECT_EQ(changes.at("unchanged"), 0) << "they were one";
    sidecar.reload();
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("unchanged") == 1; }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 2) << "the same again is no new generation";
}

// The signal comes while the file is half written; nobody says anything when it is whole.
TEST(Reload, AFileThatIsBeingWrittenIsReadAgain) {
    json config = with_admin(a_config(kNowhere, {host("s1", kNowhere)}));
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    config["settings"]["limits"]["connect-timeout-ms"] = 19000;
    const std::string text = config.dump();
    file.replace(text.substr(0, text.size() / 2));
    sidecar.reload();
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("refused") == 1; }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
    file.replace(text);
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("applied") == 1; }));
    EXPECT_EQ(ops.get("/v1/status").at("changes").at("refused"), 1);
}

// Two configurations that disagree on every class: by the wrong one, what must not run twice would be sent
// again, and what is there would be turned away. Each request is answered once and judged by one of them.
TEST(UnderLoad, NoRequestIsLostOrAnsweredTwiceOrJudgedByAMixture) {
    std::mutex mutex;
    std::map<std::string, int> runs;  // by request
    FakeServer server([&](Wire& wire, const HttpRequest& request, int) {
        std::lock_guard lock(mutex);
        ++runs[std::string(request["X-Correlation-Id"])];
        wire.respond(request["X-Service-Class"] == "deposit" ? 500 : 200, std::string(request.target()));
        return true;
    });
    json one = with_admin(a_config(kNowhere, {host("s1", server.at())}));
    json other = one;
    auto& classes = other["settings"]["classes"];
    std::reverse(classes.begin(), classes.end());
    classes.insert(classes.begin(), json{{"name", "extra"}, {"effect", "repeatable"}, {"on-time-ms", 5000}});
    other["settings"]["limits"]["max-attempts"] = 2;
    other["settings"]["azs"] = {"b", "a"};
    other["settings"]["my-zone"] = "a";
    Running sidecar(one);
    std::atomic<bool> stop{false};
    std::atomic<int> asked{0}, answered{0}, wrong{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < 4; ++c)
        clients.emplace_back([&, c] {
            App app(sidecar.at);
            const std::vector<std::string> grades = {"listen", "deposit", "annotate"};
            for (int i = c; !stop; ++i) {
                const std::string& grade = grades[static_cast<std::size_t>(i) % 3];
                ++asked;
                std::string text = App::request(grade, "25000m", grade == "listen" ? "" : "body");
                // In two pieces: a change may come in between.
                const auto half = text.size() / 2;
                app.wire.write(text.substr(0, half));
                if (i % 4 == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
                app.wire.write(text.substr(half));
                const HttpResponse r = app.answer();
                answered += r.result_int() != 0;
                const unsigned expected = grade == "deposit" ? 502 : 200;
                if (r.result_int() != expected || (expected == 200 && r.body() != "/" + grade + "?sid=7f"))
                    ++wrong;
            }
        });
    Operator ops(sidecar.admin);
    int changes = 0;
    const auto patience = steady_clock::now() + kPatience;
    for (; changes < 300 || (asked < 400 && steady_clock::now() < patience); ++changes) {
        EXPECT_EQ(ops.post("/v1/config", changes % 2 ? one : other).at("result"), "applied");
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
    stop = true;
    for (auto& t : clients) t.join();
    EXPECT_GT(asked, 300);
    EXPECT_EQ(answered, asked);
    EXPECT_EQ(wrong, 0);
    for (const auto& [id, n] : runs) EXPECT_EQ(n, 1) << id;
    EXPECT_EQ(static_cast<int>(runs.size()), asked);
    EXPECT_TRUE(until([&] { return sidecar.usage().requests == 0; }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1 + changes);
}

// ---- Rollback and trial -----------------------------------------------------------------------------------

json without_class(json config, const std::string& name) {
    auto& classes = config["settings"]["classes"];
    for (auto c = classes.begin(); c != classes.end(); ++c)
        if ((*c)["name"] == name) return classes.erase(c), config;
    return config;
}

TEST(Rollback, RestoresBehaviourAndNotOnlyText) {
    FakeServer server;
    FakeDiscovery old, fresh;
    const json config = with_admin(a_config(old.at(), {host("s1", server.at())}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const json first = ops.get("/v1/config").at("config");
    old.wait_for(1);
    json next = without_class(config, "listen");
    next["discovery"] = fresh.at();
    EXPECT_EQ(ops.post("/v1/config?expected_generation=1", next).at("generation"), 2);
    fresh.wait_for(1);
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    EXPECT_EQ(ops.post("/v1/config/rollback?expected_generation=1", nullptr, 409).at("generation"), 2);
    EXPECT_EQ(ops.post("/v1/config/rollback").at("generation"), 3);
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    old.wait_for(2);  // and its discovery is asked again
    EXPECT_EQ(ops.get("/v1/config").at("config"), first);
    EXPECT_EQ(ops.get("/v1/config").at("content_of"), 1);
    EXPECT_EQ(ops.post("/v1/config/rollback", nullptr, 409).at("result"), "conflict") << "nothing older";
    EXPECT_EQ(ops.post("/v1/config/rollback?to=2").at("generation"), 4);
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    EXPECT_EQ(ops.post("/v1/config/rollback?to=99", nullptr, 404).at("result"), "missing");
    EXPECT_EQ(ops.get("/v1/config/history").at("generations").size(), 4u);
}

// ---- Versions
// -----------------------------------------------------------------------------------------------

TEST(Epochs, GoForwardOnlyAndMeanOneThing) {
    FakeServer server;
    FakeDiscovery discovery;
    json config = with_admin(a_config(discovery.at(), {host("s1", server.at())}));
    config["ochregrade"]["epoch"] = 3;
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const auto refused = [&](const json& candidate) {
        const json said = ops.post("/v1/config", candidate, 422);
        return said.dump().find("ochregrade.epoch") != std::string::npos;
    };
    json next = without_class(config, "listen");
    EXPECT_TRUE(refused(next)) << "the epoch in force says something else";
    next["ochregrade"]["epoch"] = 2;
    EXPECT_TRUE(refused(next)) << "back";
    next["ochregrade"].erase("epoch");
    EXPECT_TRUE(refused(next)) << "away";
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    next["ochregrade"]["epoch"] = 4;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "applied");
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    // A rollback is an epoch of its own: 5 is taken, what follows needs a newer one.
    EXPECT_EQ(ops.post("/v1/config/rollback").at("result"), "applied");
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    EXPECT_EQ(sidecar.in_loop([&] { return sidecar.node().sidecar().snapshot()->epoch; }), 5u);
    EXPECT_TRUE(refused(next));
    next["ochregrade"]["epoch"] = 6;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "applied");
}

TEST(Epochs, OneForAnotherPartOfTheFleetChangesNothingHere) {
    FakeServer server;
    FakeDiscovery discovery;
    json config = with_admin(a_config(discovery.at(), {host("s1", server.at())}));
    config["ochregrade"]["epoch"] = 1;
    Running sidecar(config);
    Operator ops(sidecar.admin);
    json next = without_class(config, "listen");
    next["ochregrade"]["epoch"] = 2;
    next["ochregrade"]["rollout"]["share"] = 0;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "staged");
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
    next["ochregrade"]["rollout"]["share"] = 1;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "applied");
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
}

TEST(Epochs, ARolloutTakesItsShareOfAFleet) {
    int in = 0;
    for (std::uint32_t number = 0; number < 1000; ++number) {
        Config c;
        c.epoch = 7, c.rollout_share = 0.1, c.settings.sidecar_index = number;
        in += c.in_rollout();
        c.rollout_share = 1;
        EXPECT_TRUE(c.in_rollout());
    }
    EXPECT_NEAR(in, 100, 30);
}

// One lower number may be a late answer; lower ones that last are another discovery's.
TEST(DiscoveryAnew, IsFollowedOnceItLasts) {
    FakeServer first, second;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", first.at())}));
    const auto version = [&] {
        return sidecar.in_loop([&] {
            const DiscoveryClient& d = sidecar.node().discovery();
            return std::pair<std::uint64_t, std::uint64_t>(d.incarnation(), d.seq());
        });
    };
    discovery.say(9, true, {host("s1", first.at())});
    discovery.wait_for(2);
    discovery.say(2, true, {host("s2", second.at())});
    discovery.wait_for(3);
    EXPECT_EQ(version(), std::pair(std::uint64_t{1}, std::uint64_t{9}));
    for (int i = 0; i < 60; ++i) discovery.say(2, true, {host("s2", second.at())});
    EXPECT_TRUE(until([&] { return version() == std::pair(std::uint64_t{2}, std::uint64_t{2}); }));
}

TEST(TrialOnSockets, OneThatTurnsRequestsAwayIsTakenBackByItself) {
    FakeServer server;
    const json config = with_admin(a_config(kNowhere, {host("s1", server.at())}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    for (int i = 0; i < 30; ++i) ASSERT_EQ(ask(sidecar.at, "listen"), 200u);
    const json said =
        ops.post("/v1/config?bake_ms=60000&margin=0.1&min_samples=10", without_class(config, "listen"));
    EXPECT_EQ(said.at("trial").at("falls_back_to"), 1);
    // What neither knows is no evidence against the new one.
    for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(sidecar.at, "nothing"), 400u);
    EXPECT_EQ(ops.get("/v1/config").at("state"), "on trial");
    EXPECT_TRUE(until([&] { return ask(sidecar.at, "listen") == 200u; }));
    const json history = ops.get("/v1/config/history").at("generations");
    ASSERT_EQ(history.size(), 3u) << history;
    EXPECT_EQ(history[1].at("state"), "taken back");
    EXPECT_EQ(history[2].at("source"), "trial");
    EXPECT_EQ(history[2].at("content_of"), 1);
}

TEST(TrialOnSockets, OneThatIsNoWorseStays) {
    FakeServer server;
    json config = with_admin(a_config(kNowhere, {host("s1", server.at())}));
    for (auto& c : config["settings"]["classes"]) c["give-up-ms"] = 100;
    config["ochregrade"]["trial"] = {{"bake_ms", 1500}, {"min_samples", 10}};
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    for (int i = 0; i < 20; ++i) ASSERT_EQ(ask(sidecar.at, "listen"), 200u);
    config["settings"]["limits"]["max-attempts"] = 2;
    file.replace(config.dump());
    sidecar.reload();
    ASSERT_TRUE(until([&] { return ops.get("/v1/config").at("generation") == 2; }));
    EXPECT_EQ(ops.get("/v1/config").at("state"), "on trial") << "the file's own rule";
    EXPECT_TRUE(until([&] {
        EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
        return ops.get("/v1/config").at("state") == "good";
    }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 2);
}

// ---- Hard cases -------------------------------------------------------------------------------------------

TEST(HardCases, AFileThatNeedsADescriptorThereIsNotChangesNothing) {
    FakeServer server;
    json config = with_admin(a_config(kNowhere, {host("s1", server.at())}));
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
    limit.rlim_cur = static_cast<rlim_t>(top);  // the next one would be it
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
    const json said = ops.post("/v1/config", next, 422);
    limit.rlim_cur = was;
    setrlimit(RLIMIT_NOFILE, &limit);
    EXPECT_EQ(said.at("complaints").at(0).at("field"), "peer_listen") << said;
    EXPECT_EQ(ops.get("/v1/config"), before);
    EXPECT_EQ(ops.post("/v1/config", next).at("generation"), 2) << "with one free it is taken";
}

TEST(HardCases, ALimitLoweredBelowWhatIsInUseCutsNoRequest) {
    std::promise<void> go;
    std::shared_future<void> gone = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        gone.wait();
        return wire.respond(200, "fine"), true;
    });
    json config = with_admin(a_config(kNowhere, {host("s1", server.at())}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    std::vector<std::unique_ptr<App>> apps;
    for (int i = 0; i < 60; ++i) {
        apps.push_back(std::make_unique<App>(sidecar.at));
        apps.back()->wire.write(App::request("deposit"));
    }
    ASSERT_TRUE(server.wait_for(60));
    config["limits"]["sockets"] = 64;  // 19 for clients, 13 for servers
    ops.post("/v1/config", config);
    EXPECT_EQ(sidecar.usage().connections, 60u) << "what is out stays out";
    const auto start = steady_clock::now();
    go.set_value();
    for (auto& app : apps) EXPECT_EQ(app->answer().result_int(), 200u);
    EXPECT_TRUE(until([&] { return sidecar.usage().connections <= 13; }));
    EXPECT_LT(std::chrono::duration<double>(steady_clock::now() - start).count(), 10) << "not by idling";
    EXPECT_TRUE(until([&] { return ops.get("/v1/status").at("connections").at("clients") <= 20; }));
    apps.clear();
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
}

TEST(HardCases, ANewConfigurationDuringTheDrainIsTakenAndLengthensNothing) {
    std::promise<void> go;
    std::shared_future<void> gone = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        gone.wait();
        return wire.respond(200, "fine"), true;
    });
    json config = with_admin(a_config(kNowhere, {host("s1", server.at())}));
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
    if (early) {  // else, on a stalled machine, the time for new ones is over
        late = std::make_unique<App>(sidecar.at);
        late->wire.write(App::request("deposit"));
    }
    EXPECT_EQ(held.answer().result_int(), 502u) << "at its own deadline";
    held.wire.socket.close();
    if (early) {
        EXPECT_EQ(late->answer().result_int(), 502u) << "not lost at the drain's end";
        late->wire.socket.close();
    }
    ASSERT_EQ(done.get_future().wait_for(kPatience), std::future_status::ready);
    const double took = std::chrono::duration<double>(steady_clock::now() - start).count();
    EXPECT_LT(took, 15) << "not the new one's minute";
    go.set_value();
}

// What peers are told goes by the numbers of the generation in force, and their sender by its addresses.
TEST(HardCases, PeersMayBeRenumberedAndMoved) {
    asio::io_context io(1);
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket a(io, any), b(io, any);
    std::string own[2];
    for (auto& at : own) {
        udp::socket probe(io, any);
        at = text_of(probe.local_endpoint());
    }
    json config = with_admin(a_config(kNowhere, {host("s1", kNowhere)}));
    config["settings"]["limits"]["may-tell"] = true;
    config["peer_listen"] = own[0];
    config["peers"] = {own[0], text_of(a.local_endpoint()), text_of(b.local_endpoint())};
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const auto tell = [&](std::uint32_t to) {
        sidecar.in_loop([&] {
            sidecar.node().peers()->send(to, {1, 2, 3});
            return 0;
        });
    };
    std::array<std::uint8_t, 16> bytes{};
    tell(1);
    EXPECT_EQ(a.receive(asio::buffer(bytes)), 3u);
    config["peer_listen"] = own[1];
    config["peers"] = {text_of(b.local_endpoint()), own[1]};
    ops.post("/v1/config", config);
    tell(0);
    udp::endpoint from;
    EXPECT_EQ(b.receive_from(asio::buffer(bytes), from), 3u);
    EXPECT_EQ(text_of(from), own[1]) << "from the new address";
    config["settings"]["limits"]["may-tell"] = false;
    ops.post("/v1/config", config);
    EXPECT_TRUE(sidecar.in_loop([&] { return sidecar.node().peers() == nullptr; }));
}

// ---- The endpoint -----------------------------------------------------------------------------------------

TEST(Endpoint, IsOffByDefault) {
    Running sidecar(a_config(kNowhere, {}));
    EXPECT_FALSE(sidecar.in_loop([&] { return sidecar.node().admin_endpoint().has_value(); }));
}

TEST(Endpoint, SaysWhatIsWrongWithACall) {
    const json config = with_admin(a_config(kNowhere, {host("s1", kNowhere)}));
    Running sidecar(config);
    const auto status = [&](const std::string& method, const std::string& target,
                            const std::string& body = "") {
        Operator ops(sidecar.admin);
        return ops.call(method, target, body).result_int();
    };
    EXPECT_EQ(status("GET", "/"), 404u);
    EXPECT_EQ(status("DELETE", "/v1/config"), 405u);
    EXPECT_EQ(status("GET", "/v1/config/rollback"), 405u);
    EXPECT_EQ(status("POST", "/metrics"), 405u);
    EXPECT_EQ(status("POST", "/v1/config", "{"), 400u);
    EXPECT_EQ(status("POST", "/v1/config", "[]"), 422u);
    EXPECT_EQ(status("POST", "/v1/config?dryrun=1", config.dump()), 400u) << "no change by a slip";
    EXPECT_EQ(status("POST", "/v1/config?dry_run=yes", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?dry_run=1&dry_run=0", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?expected_generation=-1", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?margin=0.5", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?bake_ms=5&margin=7", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?expected_generation=5", config.dump()), 409u);
    EXPECT_EQ(status("GET", "/v1/config?generation=7"), 404u);
    EXPECT_EQ(status("POST", "/v1/config", std::string(2 << 20, ' ')), 413u);
    Operator ops(sidecar.admin);
    EXPECT_EQ(ops.raw("GET /v1/status HTTP/1.1\r\nHost: evil.example\r\n\r\n").result_int(), 403u);
    EXPECT_EQ(
        ops.raw("GET /v1/status HTTP/1.1\r\nHost: localhost:1\r\nOrigin: http://x\r\n\r\n").result_int(),
        403u);
    EXPECT_EQ(ops.raw("GET /v1/status HTTP/1.1\r\nHost: [::1]:1\r\n\r\n").result_int(), 200u);
    EXPECT_EQ(Operator(sidecar.admin).raw("nonsense\r\n\r\n").result_int(), 400u);
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
}

TEST(Endpoint, ADryRunSaysWhatWouldChangeAndChangesNothing) {
    json config = with_admin(a_config(kNowhere, {host("s1", kNowhere)}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const json before = ops.get("/v1/status");
    config["settings"]["limits"]["max-attempts"] = 2;
    const json said = ops.post("/v1/config?dry_run=1", config);
    EXPECT_EQ(said.at("result"), "sound");
    EXPECT_EQ(said.at("changes"), json::array({"replace /settings/limits/max-attempts"}));
    EXPECT_EQ(ops.get("/v1/status").at("generation"), before.at("generation"));
    config["limits"]["sockets"] = 1u << 30;
    EXPECT_EQ(ops.post("/v1/config?dry_run=1", config, 422).at("complaints").at(0).at("field"),
              "limits.sockets");
    EXPECT_EQ(ops.get("/v1/status").at("changes").at("refused"), 0);
}

TEST(Endpoint, WhatItGivesItTakes) {
    Running sidecar(with_admin(a_config(kNowhere, {host("s1", kNowhere)})));
    Operator ops(sidecar.admin);
    json config = ops.get("/v1/config").at("config");
    EXPECT_EQ(ops.post("/v1/config", config).at("result"), "unchanged");
    config["settings"]["limits"]["max-attempts"] = 2;
    EXPECT_EQ(ops.post("/v1/config", config).at("result"), "applied");
}

// The Prometheus text format: a HELP and a TYPE before each family, then name{labels} and a number.
TEST(Endpoint, MetricsAreInThePrometheusTextFormat) {
    FakeServer server;
    Running sidecar(with_admin(a_config(kNowhere, {host("s1", server.at())})));
    for (int i = 0; i < 3; ++i) ASSERT_EQ(ask(sidecar.at, "listen"), 200u);
    Operator ops(sidecar.admin);
    const HttpResponse r = ops.call("GET", "/metrics");
    EXPECT_EQ(r[http::field::content_type], "text/plain; version=0.0.4");
    std::istringstream lines(r.body());
    std::string family;
    std::map<std::string, double> values;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("# HELP ", 0) == 0) {
            family = line.substr(7, line.find(' ', 7) - 7);
            ASSERT_TRUE(std::getline(lines, line));
            EXPECT_EQ(line.rfind("# TYPE " + family + " ", 0), 0u) << line;
            continue;
        }
        const auto space = line.rfind(' ');
        const std::string name = line.substr(0, space);
        EXPECT_EQ(name.substr(0, name.find('{')), family) << line;
        EXPECT_EQ(values.count(name), 0u) << line;
        values[name] = std::stod(line.substr(space + 1));
    }
    EXPECT_EQ(values.at("ochregrade_answers_total{result=\"served\"}"), 3);
    EXPECT_EQ(values.at("ochregrade_config_generation"), 1);
    EXPECT_EQ(values.at("ochregrade_servers"), 1);
}

TEST(Endpoint, OutlivesNoiseAndCallersThatSayNothing) {
    Running sidecar(with_admin(a_config(kNowhere, {host("s1", kNowhere)})));
    std::vector<std::unique_ptr<App>> silent;
    for (int i = 0; i < 30; ++i) silent.push_back(std::make_unique<App>(sidecar.admin));
    std::uint64_t state = 11;
    for (int i = 0; i < 200; ++i) {
        std::string noise = i % 2 ? "POST /v1/config HTTP/1.1\r\nHost: localhost\r\n" : "";
        for (int n = 0; n < 60; ++n) {
            state = state * 6364136223846793005u + 1442695040888963407u;
            noise += static_cast<char>(state >> 56);
        }
        App app(sidecar.admin);
        app.wire.write(noise + "\r\n\r\n");
    }
    Operator ops(sidecar.admin);
    EXPECT_EQ(ops.get("/v1/status").at("name"), "n0");
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
}

}  // namespace
}  // namespace ochregrade::sidecar
