// The real program, killed while it serves and while its configuration changes, and started again.
#include "support/process_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

// Clients that send requests until the object ends.
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
    // How many requests were served.
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

class KilledUnderChanges : public testing::Test {
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
    // The process starts with a configuration that was on the disk, or was on its way there.
    std::unique_ptr<Process> start_and_check() {
        auto process = fixture.start();
        fixture.wait_for_the_disk();  // so that the run is confirmed: else the crash loop rule would end this
        const int attempts = fixture.attempts();
        EXPECT_TRUE(attempts == acknowledged || attempts == tried)
            << fixture.place.log() << attempts << " is neither " << acknowledged << " nor " << tried;
        acknowledged = tried = attempts;
        return process;
    }
    // True: it was on the disk before the kill.
    bool change_and_kill(Process& process, int attempts) {
        json next = fixture.config;
        next["settings"]["limits"]["max-attempts"] = tried = attempts;
        const bool settles = random(3) == 0;
        if (settles) {
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
        return settles;
    }

    Fixture fixture;
    int acknowledged = 3, tried = 3;  // values of max-attempts

private:
    std::uint64_t state_ = 20261201;
};

TEST_F(KilledUnderChanges, WhileItServesItComesBackWithTheOldOrTheNewConfiguration) {
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
        EXPECT_EQ(count, 1) << id << ": what was lost with a process is not sent again";
}

TEST(Killed, ACanaryUnderWayIsNotTakenAsGood) {
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

TEST(Killed, RetainedVersionsAreStillThere) {
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
    EXPECT_EQ(f.place.log().find("runs ended early"), std::string::npos) << f.place.log();
    for (int life = 0; life < StateStore::kMaxShortRuns + 1; ++life) f.start()->end(SIGKILL);
    EXPECT_NE(f.place.log().find("runs ended early"), std::string::npos) << "but kills are";
}

TEST(BadFile, EndsTheStartWithTwoUnlessALastKnownGoodMayReplaceIt) {
    Fixture f;
    auto process = f.start();
    f.wait_for_the_disk();
    process->end(SIGKILL);
    f.place.write("{\"name\":");
    const std::string where = "OCHREGRADE_STATE_DIR=" + f.place.state();
    EXPECT_EQ(Process(f.place, {where}).end(0), 2);
    EXPECT_NE(f.place.log().find("NODE_CONFIG is not JSON"), std::string::npos);
    process = f.start({where, "OCHREGRADE_LAST_KNOWN_GOOD=1"});
    EXPECT_NE(
        f.place.log().find("the file is rejected; the last known good configuration is in force instead"),
        std::string::npos);
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
