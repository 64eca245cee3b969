// Tests of the typed configuration.
#include "control/config.hpp"

#include <gtest/gtest.h>

namespace ochregrade::sidecar {
namespace {

TEST(Rollout, IncludesAboutTheConfiguredShareOfTheFleet) {
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

}  // namespace
}  // namespace ochregrade::sidecar
