// The real program, killed while it serves and while its configuration changes, and started again.
#include "support/process_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(Killed, WhileItServesAndChangesItComesBackWithTheOldOrTheNewConfiguration) {
    Fixture f;
    std::uint64_t state = 20261201;
    const auto roll = [&](std::uint64_t n) {
        state = state * 6364136223846793005u + 1442695040888963407u;
        return (state >> 33) % n;
    };
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int c = 0; c < 3; ++c)
        clients.emplace_back([&] {
            while (!stop) {
                served += try_asking(f.listen, App::request("deposit")) == 200;
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        });
    int acknowledged = 3, tried = 3, settled = 0;
    for (int life = 0; life < 40; ++life) {
        SCOPED_TRACE(life);
        auto process = f.start();
        f.wait_for_the_disk();  // that it has lived: else the rule on crash loops would end this
        const int now = f.attempts();
        EXPECT_TRUE(now == acknowledged || now == tried)
            << f.place.log() << now << " is neither " << acknowledged << " nor " << tried;
        acknowledged = tried = now;
        json next = f.config;
        tried = 4 + life;
        next["settings"]["limits"]["max-attempts"] = tried;
        if (roll(3) == 0) {  // on the disk for certain
            Operator(f.admin).post("/v1/config", next);
            f.wait_for_the_disk();
            acknowledged = tried;
            ++settled;
        } else {  // killed somewhere in between
            std::thread operators([&] {
                try {
                    Operator(f.admin).call("POST", "/v1/config", next.dump());
                } catch (const boost::system::system_error&) {
                }
            });
            std::this_thread::sleep_for(std::chrono::microseconds(roll(6000)));
            process->end(SIGKILL);
            operators.join();
        }
        process->end(SIGKILL);
    }
    stop = true;
    for (auto& t : clients) t.join();
    EXPECT_GT(settled, 0);
    EXPECT_GT(served, 0);
    std::map<std::string, int> ran;
    for (const HttpRequest& r : f.server.seen()) ++ran[std::string(r["X-Correlation-Id"])];
    for (const auto& [id, n] : ran)
        EXPECT_EQ(n, 1) << id << ": what was lost with a process is not sent again";
}

TEST(Killed, ATrialUnderWayIsNotTakenAsGood) {
    Fixture f;
    auto process = f.start();
    process->end(SIGKILL);
    json next = f.config;
    next["settings"]["limits"]["max-attempts"] = 7;
    next["ochregrade"]["trial"] = {{"bake_ms", 60000}};
    f.place.write(next.dump());
    // Accepted as it is at the start: there is nothing to compare it with.
    process = f.start();
    EXPECT_EQ(f.attempts(), 7);
    f.wait_for_the_disk();
    next["settings"]["limits"]["max-attempts"] = 8;
    Operator(f.admin).post("/v1/config", next);
    EXPECT_EQ(Operator(f.admin).get("/v1/config").at("state"), "on trial");
    f.wait_for_the_disk();
    process->end(SIGKILL);
    process = f.start();
    EXPECT_EQ(f.attempts(), 7);
    EXPECT_GT(Operator(f.admin).get("/v1/config").at("generation"), 2) << "numbers never come twice";
}

TEST(Killed, WhatMayBeGoneBackToIsStillThere) {
    Fixture f;
    auto process = f.start();
    json next = f.config;
    for (const int attempts : {5, 6}) {
        next["settings"]["limits"]["max-attempts"] = attempts;
        Operator(f.admin).post("/v1/config", next);
    }
    f.wait_for_the_disk();
    process->end(SIGKILL);
    process = f.start();
    Operator ops(f.admin);
    EXPECT_EQ(f.attempts(), 6);
    EXPECT_EQ(ops.get("/v1/config").at("content_of"), 3) << "it says what the third said";
    EXPECT_EQ(ops.post("/v1/config/rollback").at("result"), "applied");
    EXPECT_EQ(f.attempts(), 5);
    EXPECT_EQ(ops.post("/v1/config/rollback?to=1").at("result"), "applied");
    EXPECT_EQ(f.attempts(), 3);
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
}

TEST(Killed, WithAStateItServesBeforeDiscoveryAnswers) {
    Fixture f;
    auto process = f.start();
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
    EXPECT_TRUE(until([&] {
        f.wait_for_the_disk();
        for (const auto& file : std::filesystem::directory_iterator(f.place.state()))
            if (file.path().filename().string().rfind("world-", 0) == 0) return true;
        return false;
    }));
    process->end(SIGKILL);
    f.discovery.silent = true;
    process = f.start();
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
    EXPECT_EQ(Operator(f.admin).get("/v1/status").at("list").at("seq"), 0) << "nobody has told it";
}

// Whoever writes configurations may not know yet that the process has been told to end.
TEST(PlannedStops, EndWithZeroUnderNewConfigurationsUpToTheLastMoment) {
    Fixture f;
    for (int life = 0; life < 5; ++life) {
        const auto process = f.start();
        process->signal(SIGTERM);
        while (process->runs()) {
            process->signal(SIGHUP);
            std::this_thread::sleep_for(std::chrono::microseconds(100));  // many in the time of an exit
        }
        ASSERT_EQ(process->end(0), 0) << "life " << life;
    }
}

TEST(PlannedStops, AreNoCrashLoopHoweverSoonTheyCome) {
    Fixture f;
    f.config["ochregrade"]["state"]["lived_ms"] = 3600000;
    f.place.write(f.config.dump());
    for (int life = 0; life < StateStore::kMaxShortRuns + 2; ++life) EXPECT_EQ(f.start()->end(SIGTERM), 0);
    EXPECT_EQ(f.place.log().find("lives were short"), std::string::npos) << f.place.log();
    for (int life = 0; life < StateStore::kMaxShortRuns + 1; ++life) f.start()->end(SIGKILL);
    EXPECT_NE(f.place.log().find("lives were short"), std::string::npos) << "but kills are";
}

TEST(BadFile, EndsTheStartWithTwoUnlessALastKnownGoodMayStepIn) {
    Fixture f;
    auto process = f.start();
    f.wait_for_the_disk();
    process->end(SIGKILL);
    f.place.write("{\"name\":");
    const std::string where = "OCHREGRADE_STATE_DIR=" + f.place.state();
    EXPECT_EQ(Process(f.place, {where}).end(0), 2);
    EXPECT_NE(f.place.log().find("NODE_CONFIG is not JSON"), std::string::npos);
    process = f.start({where, "OCHREGRADE_LAST_KNOWN_GOOD=1"});
    EXPECT_NE(f.place.log().find("last known good configuration steps in"), std::string::npos);
    EXPECT_EQ(Operator(f.admin).get("/v1/config").at("source"), "recovery");
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
    EXPECT_EQ(process->end(SIGTERM), 0);
}

TEST(OneFolder, IsOneProcesssAndTheOtherServesWithoutState) {
    Fixture f;
    auto first = f.start();
    json other = f.config;
    const tcp::endpoint at = free_port();
    other["listen"] = text_of(at);
    other["ochregrade"]["admin"]["listen"] = text_of(free_port());
    f.place.write(other.dump());
    Process second(f.place, {});
    ASSERT_TRUE(until([&] { return try_asking(at, kHealth) == 200; }));
    EXPECT_NE(f.place.log().find("another process has it"), std::string::npos);
    const std::string second_admin = other["ochregrade"]["admin"]["listen"];
    const json state = Operator(endpoint_of(second_admin)).get("/v1/status").at("state");
    EXPECT_EQ(state.at("usable"), false);
    EXPECT_EQ(state.at("why"), "another process has it");
    EXPECT_EQ(try_asking(at, App::request("listen")), 200u);
    EXPECT_EQ(second.end(SIGTERM), 0);
    EXPECT_EQ(first->end(SIGTERM), 0);
}

}  // namespace
}  // namespace ochregrade::sidecar
