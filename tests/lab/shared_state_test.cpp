// Real sidecars that share what they see, through faults.
#include <gtest/gtest.h>

#include "lab/lab.hpp"
#include "run_experiment.hpp"

namespace ochregrade::lab {
namespace {

constexpr const char* kSharedState = R"(
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
)";

// Real processes that share what they see: nearly all eject a server that fails, most of them on the evidence
// of others; a killed sidecar catches up when it is back; no healthy server is ejected. A tenth of the
// datagrams is lost, some are duplicated, and a fifth of the fleet is cut off for a while.
TEST(Fleet, SharedStateThroughFaults) {
    const TemporaryFolder folder;
    const auto summary = run_in(folder, folder.experiment(kSharedState));
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

}  // namespace
}  // namespace ochregrade::lab
