// Tests the program as a process: killed while it serves requests or while its configuration changes, and
// then restarted with the state that the previous run stored.
#include "support/process_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

// Three clients that send requests until stop() is called or the object is destroyed.
class Clients {
public:
    explicit Clients(const Fixture& fixture) {
        for (int client = 0; client < 3; ++client)
            threads_.emplace_back([this, &fixture] {
                while (!stop_) {
                    served_ += try_asking(fixture.listen, App::request("deposit")) == 200;
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                }
            });
    }
    ~Clients() { stop(); }
    // Stops the clients and returns the number of requests that were served.
    int stop() {
        stop_ = true;
        for (std::thread& thread : threads_)
            if (thread.joinable()) thread.join();
        return served_;
    }

private:
    std::atomic<bool> stop_{false};
    std::atomic<int> served_{0};
    std::vector<std::thread> threads_;
};

class KilledDuringChanges : public testing::Test {
protected:
    std::uint64_t random(std::uint64_t n) {
        state_ = state_ * 6364136223846793005u + 1442695040888963407u;
        return (state_ >> 33) % n;
    }
    static void post_ignoring_errors(const tcp::endpoint& admin, const json& config) {
        try {
            Operator(admin).call("POST", "/v1/config", config.dump());
        } catch (const boost::system::system_error&) {
        }
    }
    // Checks that the process starts with the last configuration that is known to be on the disk, or with the
    // configuration that was being changed to when the previous process was killed.
    std::unique_ptr<Process> start_and_check() {
        auto process = fixture.start();
        // The run must be confirmed as stable; otherwise the kills would count as a crash loop and the state
        // would be quarantined.
        fixture.wait_for_the_disk();
        const int attempts = fixture.attempts();
        EXPECT_TRUE(attempts == acknowledged || attempts == tried)
            << fixture.place.log() << attempts << " is neither " << acknowledged << " nor " << tried;
        acknowledged = tried = attempts;
        return process;
    }
    // Changes max-attempts and kills the process. Returns whether the change was certainly on the disk before
    // the kill; a random third of the calls waits for that.
    bool change_and_kill(Process& process, int attempts) {
        json next = fixture.config;
        next["settings"]["limits"]["max-attempts"] = tried = attempts;
        const bool durable = random(3) == 0;
        if (durable) {
            Operator(fixture.admin).post("/v1/config", next);
            fixture.wait_for_the_disk();
            acknowledged = tried;
        } else {
            std::thread operators([&] { post_ignoring_errors(fixture.admin, next); });
            std::this_thread::sleep_for(std::chrono::microseconds(random(6000)));
            process.end(SIGKILL);
            operators.join();
        }
        process.end(SIGKILL);
        return durable;
    }

    Fixture fixture;
    // Values of max-attempts: of the last configuration known to be on the disk, and of the last one sent.
    int acknowledged = 3, tried = 3;

private:
    std::uint64_t state_ = 20261201;
};

TEST_F(KilledDuringChanges, RestartsWithTheOldOrTheNewConfiguration) {
    Clients clients(fixture);
    int settled = 0;
    for (int run = 0; run < 40; ++run) {
        SCOPED_TRACE(run);
        const auto process = start_and_check();
        settled += change_and_kill(*process, 4 + run);
    }
    EXPECT_GT(clients.stop(), 0);
    EXPECT_GT(settled, 0);
    std::map<std::string, int> runs;
    for (const HttpRequest& request : fixture.server.seen()) ++runs[std::string(request["X-Correlation-Id"])];
    for (const auto& [id, count] : runs)
        EXPECT_EQ(count, 1) << id << ": a request that ended with a killed process must not be sent again";
}

TEST(Killed, ACanaryUnderWayIsNotLastKnownGood) {
    Fixture f;
    auto process = f.start();
    process->end(SIGKILL);
    json next = f.config;
    next["settings"]["limits"]["max-attempts"] = 7;
    next["ochregrade"]["trial"] = {{"bake_ms", 60000}};
    f.place.write(next.dump());
    // At the start the file is accepted without a canary, because there is no earlier version to compare it
    // with.
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
    EXPECT_GT(Operator(f.admin).get("/v1/config").at("generation"), 2) << "no version number is used twice";
}

TEST(Killed, RetainedVersionsAreRestored) {
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
    EXPECT_EQ(ops.get("/v1/config").at("content_of"), 3)
        << "the current version has the content of version 3";
    EXPECT_EQ(ops.post("/v1/config/rollback").at("result"), "applied");
    EXPECT_EQ(f.attempts(), 5);
    EXPECT_EQ(ops.post("/v1/config/rollback?to=1").at("result"), "applied");
    EXPECT_EQ(f.attempts(), 3);
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
}

TEST(Killed, RestoredEndpointsServeBeforeDiscoveryResponds) {
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
    EXPECT_EQ(Operator(f.admin).get("/v1/status").at("list").at("seq"), 0) << "discovery has sent no list";
}

// SIGHUP may arrive while the process exits after SIGTERM, because the tool that writes the configuration may
// not have noticed the stop yet. Such a signal must not kill the process.
TEST(PlannedStops, ExitWithZeroDuringReloads) {
    Fixture f;
    for (int run = 0; run < 5; ++run) {
        const auto process = f.start();
        process->signal(SIGTERM);
        while (process->runs()) {
            process->signal(SIGHUP);
            std::this_thread::sleep_for(std::chrono::microseconds(100));  // many signals during one exit
        }
        ASSERT_EQ(process->end(0), 0) << "run " << run;
    }
}

TEST(PlannedStops, ShortRunsThatEndAsPlannedAreNotACrashLoop) {
    Fixture f;
    f.config["ochregrade"]["state"]["lived_ms"] = 3600000;
    f.place.write(f.config.dump());
    for (int run = 0; run < StateStore::kMaxShortRuns + 2; ++run) EXPECT_EQ(f.start()->end(SIGTERM), 0);
    EXPECT_EQ(f.place.log().find("runs ended early"), std::string::npos) << f.place.log();
    for (int run = 0; run < StateStore::kMaxShortRuns + 1; ++run) f.start()->end(SIGKILL);
    EXPECT_NE(f.place.log().find("runs ended early"), std::string::npos)
        << "killed short runs are a crash loop";
}

TEST(BadFile, ExitsWithTwoUnlessTheLastKnownGoodMayReplaceIt) {
    Fixture f;
    auto process = f.start();
    f.wait_for_the_disk();
    process->end(SIGKILL);
    f.place.write("{\"name\":");
    const std::string state_variable = "OCHREGRADE_STATE_DIR=" + f.place.state();
    EXPECT_EQ(Process(f.place, {state_variable}).end(0), 2);
    EXPECT_NE(f.place.log().find("NODE_CONFIG is not JSON"), std::string::npos);
    process = f.start({state_variable, "OCHREGRADE_LAST_KNOWN_GOOD=1"});
    EXPECT_NE(
        f.place.log().find("the file is rejected; the last known good configuration is in force instead"),
        std::string::npos);
    EXPECT_EQ(Operator(f.admin).get("/v1/config").at("source"), "recovery");
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
    EXPECT_EQ(process->end(SIGTERM), 0);
}

TEST(SharedStateFolder, IsUsedByOneProcessAndTheOtherServesWithoutState) {
    Fixture f;
    auto first = f.start();
    json other = f.config;
    const tcp::endpoint second_listen = free_port();
    other["listen"] = text_of(second_listen);
    other["ochregrade"]["admin"]["listen"] = text_of(free_port());
    f.place.write(other.dump());
    Process second(f.place, {});
    ASSERT_TRUE(until([&] { return try_asking(second_listen, kHealth) == 200; }));
    EXPECT_NE(f.place.log().find("another process has it"), std::string::npos);
    const std::string second_admin = other["ochregrade"]["admin"]["listen"];
    const json state = Operator(endpoint_of(second_admin)).get("/v1/status").at("state");
    EXPECT_EQ(state.at("usable"), false);
    EXPECT_EQ(state.at("why"), "another process has it");
    EXPECT_EQ(try_asking(second_listen, App::request("listen")), 200u);
    EXPECT_EQ(second.end(SIGTERM), 0);
    EXPECT_EQ(first->end(SIGTERM), 0);
}

}  // namespace
}  // namespace ochregrade::sidecar
