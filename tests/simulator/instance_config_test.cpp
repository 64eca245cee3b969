// Tests the settings and names of an instance that are read from a START message.
#include "simulator/instance_config.hpp"

#include <gtest/gtest.h>

#include "wire_lines.hpp"

namespace ochregrade::wire {
namespace {

TEST(InstanceConfig, ReadsEverySetting) {
    const InstanceConfig config =
        read_instance_config(Message(std::string_view(kStartLine).substr(0, kStartLine.size() - 1), 1));
    EXPECT_EQ(config.settings.classes.size(), 2U);
    EXPECT_EQ(config.settings.classes[1].idempotency, Idempotency::not_idempotent);
    EXPECT_EQ(config.settings.classes[0].latency_objective, 400);
    EXPECT_EQ(config.settings.local_zone, ZoneId{1});
    EXPECT_EQ(config.settings.slow_start_least_share, 0.16);
    EXPECT_EQ(config.settings.fees.cross_zone, 0.02);
    EXPECT_FALSE(config.settings.polled_discovery);
    EXPECT_EQ(config.classes[1], "deposit");
}

TEST(InstanceConfig, ProbesAndGossipAreAllowedOnlyWhereStated) {
    const std::string line =
        "START who=s classes.count=1 classes.0.effect=once classes.0.name=a "
        "classes.0.on-time-ms=300 my-number=4 siblings=9 limits.may-probe=true ";
    const std::string with_gossip = line + "limits.may-tell=true";
    const InstanceConfig config = read_instance_config(Message(with_gossip, 1));
    EXPECT_TRUE(config.settings.probes_allowed);
    EXPECT_TRUE(config.settings.gossip_allowed);
    EXPECT_EQ(config.settings.sidecar_index, 4U);
    EXPECT_EQ(config.settings.sidecar_count, 9U);
    EXPECT_FALSE(read_instance_config(Message(line, 1)).settings.gossip_allowed) << "the default";
}

}  // namespace
}  // namespace ochregrade::wire
