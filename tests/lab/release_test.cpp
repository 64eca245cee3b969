// Real sidecars through a release of the servers.
#include <gtest/gtest.h>

#include "lab/lab.hpp"
#include "run_experiment.hpp"

namespace ochregrade::lab {
namespace {

constexpr const char* kRelease = R"(
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
)";

// Every watch falls silent, then six in ten servers are replaced. A sidecar that stays with the old list has
// four tenths of the servers for load that takes six, and sends to none of the new ones; the class of the
// lowest priority weight is rejected first.
TEST(Fleet, EveryClassIsServedThroughAReleaseThatSilentWatchesMiss) {
    const TemporaryFolder folder;
    const auto summary = run_in(folder, folder.experiment(kRelease));
    EXPECT_EQ(summary["processes"]["crashed"], 0) << summary["processes"];
    EXPECT_EQ(summary["faults_failed"], 0);
    EXPECT_EQ(summary["outcomes"]["lost"], 0);
    ASSERT_EQ(summary["classes"].size(), 2u);
    for (const auto& c : summary["classes"]) {
        EXPECT_GT(c["requests"], 16 * 15 * 14 * 0.2) << c;
        EXPECT_GT(c["served_share"], 0.8) << c;
    }
}

}  // namespace
}  // namespace ochregrade::lab
