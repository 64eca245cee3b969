// A CI-sized fleet of real sidecars through faults.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "lab/lab.hpp"
#include "run_experiment.hpp"

namespace ochregrade::lab {
namespace {

constexpr const char* kFaults = R"(
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
)";

// The killed ones came back. Every child was reaped: those killed by the fault, the rest ended by SIGTERM at
// the end with 0.
void expect_processes_reaped(const nlohmann::json& processes) {
    EXPECT_EQ(processes["started"], 16 + 4);
    EXPECT_EQ(processes["killed"], 4);
    EXPECT_EQ(processes["crashed"], 0);
    EXPECT_EQ(processes["ended_with_0"].get<int>() + processes["ended_otherwise"].get<int>() +
                  processes["killed"].get<int>(),
              20);
}

void expect_report_files(const std::filesystem::path& report) {
    for (const char* file : {"summary.json", "fleet.csv", "servers.csv", "sidecars.csv"})
        EXPECT_TRUE(std::filesystem::exists(report / file)) << file;
    std::ifstream csv(report / "servers.csv");
    std::string line;
    int lines = 0;
    while (std::getline(csv, line)) ++lines;
    EXPECT_EQ(lines, 1 + 8 * 8);  // a line a server and second
}

// Real processes: 16 sidecars and 8 servers on loopback; a quarter of the sidecars killed and started again,
// a quarter stopped and continued, a fifth cut off from datagrams, a server failing. Bounds, not timings.
TEST(Fleet, RealSidecarsThroughFaults) {
    const TemporaryFolder folder;
    const auto summary = run_in(folder, folder.experiment(kFaults));

    EXPECT_EQ(summary["ready"]["sidecars"], 16);
    expect_processes_reaped(summary["processes"]);
    EXPECT_EQ(summary["faults"], 4);
    const auto& outcomes = summary["outcomes"];
    const double requests = summary["requests"];
    EXPECT_GT(requests, 16 * 15 * 8 * 0.7);
    // What a killed or stopped sidecar had in flight may be lost; nothing else is.
    EXPECT_LT(outcomes["lost"].get<double>(), 0.05 * requests);
    EXPECT_GT(outcomes["served"].get<double>(), 0.8 * requests);
    EXPECT_EQ(summary["sidecars_that_served_nothing"], 0);
    EXPECT_GT(summary["datagrams"]["dropped"].get<double>(), 0);  // the partition cut some
    EXPECT_EQ(summary["datagrams_oversize"], 0);
    expect_report_files(folder.path() / "run");
}

}  // namespace
}  // namespace ochregrade::lab
