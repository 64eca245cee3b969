// Experiment files: what is read from them, and which field an error names.
#include "lab/experiment.hpp"

#include <gtest/gtest.h>

#include "temporary_folder.hpp"

namespace ochregrade::lab {
namespace {

std::string field_of_error(const std::string& toml) {
    const TemporaryFolder folder;
    try {
        folder.experiment(toml);
    } catch (const ExperimentError& error) {
        return error.field;
    }
    return "";
}

TEST(Experiment, ReadsEveryField) {
    const TemporaryFolder folder;
    const Experiment experiment = folder.experiment(R"(
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
    EXPECT_EQ(experiment.name, "x");
    EXPECT_EQ(experiment.seed, 5u);
    EXPECT_EQ(experiment.sidecars, 7);
    EXPECT_EQ(experiment.zones, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(experiment.servers, 3);
    EXPECT_DOUBLE_EQ(experiment.rate, 2.5);
    EXPECT_EQ(experiment.retries, 1);
    ASSERT_EQ(experiment.faults.size(), 1u);
    EXPECT_EQ(experiment.faults[0].kind, FaultKind::partition);
    EXPECT_TRUE(experiment.faults[0].inbound);
    EXPECT_FALSE(experiment.faults[0].outbound);
}

TEST(Experiment, NamesTheBadField) {
    EXPECT_EQ(field_of_error("seconds = \"long\""), "seconds");
    EXPECT_EQ(field_of_error("[fleet]\nsidecars = 0"), "fleet.sidecars");
    EXPECT_EQ(field_of_error("[fleet]\nsidecars = 2.5"), "fleet.sidecars");
    EXPECT_EQ(field_of_error("[load]\nretries = 3"), "load.retries");
    EXPECT_EQ(field_of_error("[[load.classes]]\nshare = 1"), "load.classes[0].name");
    EXPECT_EQ(field_of_error("[[load.classes]]\nname = \"a/b\""), "load.classes[0].name");
    EXPECT_EQ(field_of_error("[load]\nclasses = []"), "load.classes");
    EXPECT_EQ(field_of_error("[servers]\ncuont = 3"), "servers.cuont");
    EXPECT_EQ(field_of_error("[[faults]]\nkind = \"flood\""), "faults[0].kind");
    EXPECT_EQ(field_of_error("[[faults]]\nat_s = 1"), "faults[0].kind");
    EXPECT_EQ(field_of_error("[[faults]]\nkind = \"servers\"\nmode = \"odd\""), "faults[0].mode");
    EXPECT_EQ(field_of_error("seconds = 2\nwarmup_s = 3"), "warmup_s");
    EXPECT_EQ(field_of_error("seconds = [1"), "(file)");
    EXPECT_EQ(field_of_error("seconds = 3"), "");
}

}  // namespace
}  // namespace ochregrade::lab
