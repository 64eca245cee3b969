// The fleet lab: its experiment files, its figures, and a CI-sized fleet of real sidecars with faults.
#include "lab/lab.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/null_sink.h>

#include <filesystem>
#include <fstream>

#include "lab/experiment.hpp"
#include "lab/loopback_block.hpp"
#include "lab/record.hpp"
#include "lab/report.hpp"

namespace {

using ochregrade::lab::Experiment;
using ochregrade::lab::ExperimentError;

struct Folder {
    Folder()
        : path(std::filesystem::temp_directory_path() /
               ("lab-test-" + std::to_string(::getpid()) + "-" + std::to_string(counter++))) {
        std::filesystem::create_directories(path);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::filesystem::path file(const std::string& text) const {
        const auto at = path / "e.toml";
        std::ofstream(at) << text;
        return at;
    }
    Experiment experiment(const std::string& text) const {
        return ochregrade::lab::load_experiment(file(text).string());
    }
    static inline int counter = 0;
    std::filesystem::path path;
};

nlohmann::json played(const Experiment& e, const Folder& folder) {
    const auto log =
        std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>());
    return ochregrade::lab::run_experiment(e, {OCHREGRADE_PROGRAM, folder.path / "run"}, log);
}

std::string field_of(const std::string& text) {
    Folder folder;
    try {
        folder.experiment(text);
    } catch (const ExperimentError& error) {
        return error.field;
    }
    return "";
}

TEST(Experiment, ReadsWhatItSays) {
    Folder folder;
    const Experiment e = folder.experiment(R"(
name = "x"
seed = 5
seconds = 9
[fleet]
sidecars = 7
zones = ["a", "b"]
[servers]
count = 3
speed_spread = 0.25
[load]
rate = 2.5
retries = 1
[[faults]]
kind = "partition"
at_s = 1
for_s = 2
share = 0.2
direction = "in"
)");
    EXPECT_EQ(e.name, "x");
    EXPECT_EQ(e.seed, 5u);
    EXPECT_EQ(e.sidecars, 7);
    EXPECT_EQ(e.zones, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(e.servers, 3);
    EXPECT_DOUBLE_EQ(e.rate, 2.5);
    EXPECT_EQ(e.retries, 1);
    ASSERT_EQ(e.faults.size(), 1u);
    EXPECT_EQ(e.faults[0].kind, ochregrade::lab::Fault::Kind::partition);
    EXPECT_TRUE(e.faults[0].inbound);
    EXPECT_FALSE(e.faults[0].outbound);
}

TEST(Experiment, NamesTheBadField) {
    EXPECT_EQ(field_of("seconds = \"long\""), "seconds");
    EXPECT_EQ(field_of("[fleet]\nsidecars = 0"), "fleet.sidecars");
    EXPECT_EQ(field_of("[fleet]\nsidecars = 2.5"), "fleet.sidecars");
    EXPECT_EQ(field_of("[load]\nretries = 3"), "load.retries");
    EXPECT_EQ(field_of("[[load.classes]]\nshare = 1"), "load.classes[0].name");
    EXPECT_EQ(field_of("[[load.classes]]\nname = \"a/b\""), "load.classes[0].name");
    EXPECT_EQ(field_of("[load]\nclasses = []"), "load.classes");
    EXPECT_EQ(field_of("[servers]\ncuont = 3"), "servers.cuont");
    EXPECT_EQ(field_of("[[faults]]\nkind = \"flood\""), "faults[0].kind");
    EXPECT_EQ(field_of("[[faults]]\nat_s = 1"), "faults[0].kind");
    EXPECT_EQ(field_of("[[faults]]\nkind = \"servers\"\nmode = \"odd\""), "faults[0].mode");
    EXPECT_EQ(field_of("seconds = 2\nwarmup_s = 3"), "warmup_s");
    EXPECT_EQ(field_of("seconds = [1"), "(file)");
    EXPECT_EQ(field_of("seconds = 3"), "");
}

// Two runs at once on the same addresses gave two sidecars the same port; the second ended with exit code 2.
TEST(LoopbackBlock, IsHeldByOneRunAtATime) {
    using ochregrade::lab::LoopbackBlock;
    const LoopbackBlock first, second;
    EXPECT_NE(first.address(0), second.address(0));
    EXPECT_NE(first.address(249), first.address(250));
}

TEST(Figures, JainsIndex) {
    EXPECT_DOUBLE_EQ(ochregrade::lab::jain({5, 5, 5, 5}), 1.0);
    EXPECT_DOUBLE_EQ(ochregrade::lab::jain({8, 0, 0, 0}), 0.25);
    EXPECT_NEAR(ochregrade::lab::jain({1, 2, 3}), 36.0 / 42.0, 1e-12);
    EXPECT_DOUBLE_EQ(ochregrade::lab::jain({}), 1.0);
}

TEST(Figures, CorrelationIdsCarryTheSidecar) {
    for (const int sidecar : {0, 1, 299, 1999}) {
        const std::string id = ochregrade::lab::correlation_id(sidecar, 123456789);
        EXPECT_EQ(id.size(), 16u);
        EXPECT_EQ(ochregrade::lab::sidecar_of(id), sidecar);
    }
    EXPECT_EQ(ochregrade::lab::sidecar_of("not-one-of-ours!"), -1);
    EXPECT_EQ(ochregrade::lab::sidecar_of("abc"), -1);
}

// Real processes: 16 sidecars and 8 servers on loopback; a quarter of the sidecars killed and started again,
// a quarter stopped and continued, a fifth cut off from datagrams, a server failing. Bounds, not timings.
TEST(Fleet, RealSidecarsThroughFaults) {
    Folder folder;
    Experiment e = folder.experiment(R"(
name = "ci"
seed = 3
seconds = 8
warmup_s = 1
[fleet]
sidecars = 16
zones = ["a", "b"]
[servers]
count = 8
work_ms = 2
speed_spread = 0.5
[load]
rate = 15
time_left_ms = 800
[[faults]]
kind = "kill"
at_s = 2
share = 0.25
for_s = 1
[[faults]]
kind = "stop"
at_s = 2
share = 0.25
for_s = 1.5
[[faults]]
kind = "partition"
at_s = 1
share = 0.2
for_s = 5
[[faults]]
kind = "servers"
at_s = 3
share = 0.125
mode = "fail_fast"
for_s = 2
)");
    const auto summary = played(e, folder);

    EXPECT_EQ(summary["ready"]["sidecars"], 16);
    const auto& processes = summary["processes"];
    EXPECT_EQ(processes["started"], 16 + 4);  // the killed ones came back
    EXPECT_EQ(processes["killed"], 4);
    EXPECT_EQ(processes["crashed"], 0);
    // Every child was reaped: those killed by the fault, the rest ended by SIGTERM at the end with 0.
    EXPECT_EQ(processes["ended_with_0"].get<int>() + processes["ended_otherwise"].get<int>() +
                  processes["killed"].get<int>(),
              20);
    EXPECT_EQ(summary["faults"], 4);
    const auto& outcomes = summary["outcomes"];
    const double requests = summary["requests"];
    EXPECT_GT(requests, 16 * 15 * 8 * 0.7);
    // What a killed or stopped sidecar held may be lost; nothing else is.
    EXPECT_LT(outcomes["lost"].get<double>(), 0.05 * requests);
    EXPECT_GT(outcomes["served"].get<double>(), 0.8 * requests);
    EXPECT_EQ(summary["sidecars_that_served_nothing"], 0);
    EXPECT_GT(summary["datagrams"]["dropped"].get<double>(), 0);  // the partition cut some
    EXPECT_EQ(summary["datagrams_oversize"], 0);
    for (const char* file : {"summary.json", "fleet.csv", "servers.csv", "sidecars.csv"})
        EXPECT_TRUE(std::filesystem::exists(folder.path / "run" / file)) << file;
    std::ifstream csv(folder.path / "run" / "servers.csv");
    std::string line;
    int lines = 0;
    while (std::getline(csv, line)) ++lines;
    EXPECT_EQ(lines, 1 + 8 * 8);  // a line a server and second
}

// Real processes that share what they see: a server that fails is known to nearly all, most of them by the
// word of others; whoever was killed has caught up when it is back; nobody sound is removed. A tenth of the
// datagrams is lost, some come twice, and a fifth of the fleet is cut off for a while.
TEST(Fleet, SharedStateThroughFaults) {
    Folder folder;
    const Experiment e = folder.experiment(R"(
name = "shared"
seed = 5
seconds = 9
warmup_s = 1
[fleet]
sidecars = 16
zones = ["a", "b"]
shared = true
[servers]
count = 20
work_ms = 2
[load]
rate = 12
time_left_ms = 800
[relay]
delay_ms = 3
loss = 0.1
duplicate = 0.1
[[faults]]
kind = "servers"
at_s = 2
share = 0.05
mode = "fail_fast"
for_s = 4
[[faults]]
kind = "partition"
at_s = 1
share = 0.2
for_s = 3
[[faults]]
kind = "kill"
at_s = 6
share = 0.25
for_s = 1
)");
    const auto summary = played(e, folder);
    EXPECT_EQ(summary["processes"]["crashed"], 0) << summary["processes"];
    const auto& shared = summary["shared"];
    EXPECT_EQ(shared["bad_servers"], 1);
    EXPECT_GE(shared["removed_by"].get<double>(), 11) << shared;
    EXPECT_GE(shared["removed_on_hearsay_after_ms"]["n"].get<int>(), 6) << shared;
    EXPECT_EQ(shared["sound_servers_removed_on_hearsay"], 0) << shared;
    EXPECT_GE(shared["caught_up_after_ms"]["n"].get<int>(), 16 + 4) << shared;
    EXPECT_EQ(summary["datagrams_oversize"], 0);
    EXPECT_EQ(summary["outcomes"]["failed"], 0);
}

// Every watch falls silent, then six in ten servers are replaced. Who holds on to the old list has four
// tenths of the servers for load that takes six, and sends to none of the new ones; the class of least worth
// pays first.
TEST(Fleet, EveryClassIsServedThroughAReleaseThatSilentWatchesMiss) {
    Folder folder;
    const Experiment e = folder.experiment(R"(
name = "join"
seed = 4
seconds = 14
warmup_s = 1
[fleet]
sidecars = 16
[servers]
count = 10
work_ms = 25
concurrency = 1
cold_from = 0.3
warm_ms = 3000
[load]
rate = 15
[[load.classes]]
name = "track"
share = 40
worth = 2
on_time_ms = 300
time_left_ms = 800
[[load.classes]]
name = "charge"
once = true
share = 60
worth = 10
on_time_ms = 300
time_left_ms = 800
[[faults]]
kind = "silence"
at_s = 0.5
share = 1
[[faults]]
kind = "replace"
at_s = 1
share = 0.6
for_s = 2
)");
    const auto summary = played(e, folder);
    EXPECT_EQ(summary["processes"]["crashed"], 0) << summary["processes"];
    EXPECT_EQ(summary["faults_failed"], 0);
    EXPECT_EQ(summary["outcomes"]["lost"], 0);
    ASSERT_EQ(summary["classes"].size(), 2u);
    for (const auto& c : summary["classes"]) {
        EXPECT_GT(c["requests"], 16 * 15 * 14 * 0.2) << c;
        EXPECT_GT(c["served_share"], 0.8) << c;
    }
}

// Versions the sidecars agree on, on real processes: a third of the watches is told nothing of a drain,
// discovery counts anew, and settings reach one sidecar in eight by SIGHUP. The same run without the asking
// must not pass.
nlohmann::json versions_run(bool agreement) {
    Folder folder;
    const Experiment e = folder.experiment(
        std::string("name = \"versions\"\nseed = 5\nseconds = 14\nwarmup_s = 1\n") +
        "[fleet]\nsidecars = 16\nshared = true\nagreement = " + (agreement ? "true" : "false") +
        R"(
[servers]
count = 20
work_ms = 2
[load]
rate = 8
time_left_ms = 800
[relay]
delay_ms = 3
loss = 0.2
duplicate = 0.1
[[faults]]
kind = "stall"
at_s = 1
share = 0.34
for_s = 12
[[faults]]
kind = "drain"
at_s = 2
share = 0.1
for_s = 2
[[faults]]
kind = "settings"
at_s = 5
share = 0.12
[[faults]]
kind = "anew"
at_s = 7
[[faults]]
kind = "kill"
at_s = 9
share = 0.25
for_s = 0.5
[[faults]]
kind = "settings"
at_s = 9.2
share = 0.2
[[faults]]
kind = "settings"
at_s = 9.3
share = 0.2
)");
    const auto summary = played(e, folder);
    EXPECT_EQ(summary["processes"]["crashed"], 0) << summary["processes"];
    EXPECT_EQ(summary["faults_failed"], 0);
    return summary["shared"];
}

// The bounds are twice those stated (1 s, 2 s): this runs beside other tests, under sanitizers too.
TEST(Fleet, NoTwoSidecarsActOnContradictingVersionsForLong) {
    const auto shared = versions_run(true);
    EXPECT_GE(shared["list_lag_ms"]["changes"].get<int>(), 3) << shared;
    EXPECT_GE(shared["settings_lag_ms"]["changes"].get<int>(), 2) << shared;
    EXPECT_EQ(shared["list_lag_ms"]["never"], 0) << shared;
    EXPECT_EQ(shared["settings_lag_ms"]["never"], 0) << shared;
    EXPECT_LE(shared["list_lag_ms"]["max"].get<double>(), 2000) << shared;
    EXPECT_LE(shared["settings_lag_ms"]["max"].get<double>(), 4000) << shared;
}

TEST(Fleet, WithoutAskingTheHistoryCheckFails) {
    const auto shared = versions_run(false);
    EXPECT_GT(shared["list_lag_ms"]["max"].get<double>(), 2000) << shared;
    EXPECT_GT(shared["settings_lag_ms"]["never"].get<int>(), 0) << shared;
}

}  // namespace
