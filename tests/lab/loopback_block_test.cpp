// Blocks of loopback addresses.
#include "lab/loopback_block.hpp"

#include <gtest/gtest.h>

namespace ochregrade::lab {
namespace {

// Two runs at once on the same addresses gave two sidecars the same port; the second ended with exit code 2.
TEST(LoopbackBlock, IsHeldByOneRunAtATime) {
    const LoopbackBlock first, second;
    EXPECT_NE(first.address(0), second.address(0));
    EXPECT_NE(first.address(249), first.address(250));
}

}  // namespace
}  // namespace ochregrade::lab
