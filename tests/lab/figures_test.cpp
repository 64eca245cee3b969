// Statistics of the lab's figures.
#include "lab/figures.hpp"

#include <gtest/gtest.h>

namespace ochregrade::lab {
namespace {

TEST(Figures, JainsIndex) {
    EXPECT_DOUBLE_EQ(jain({5, 5, 5, 5}), 1.0);
    EXPECT_DOUBLE_EQ(jain({8, 0, 0, 0}), 0.25);
    EXPECT_NEAR(jain({1, 2, 3}), 36.0 / 42.0, 1e-12);
    EXPECT_DOUBLE_EQ(jain({}), 1.0);
}

}  // namespace
}  // namespace ochregrade::lab
