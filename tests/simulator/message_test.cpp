// Tests the parser of one line of the simulator's text protocol.
#include "simulator/message.hpp"

#include <gtest/gtest.h>

namespace ochregrade::wire {
namespace {

TEST(Message, ReadsBytesFromHex) {
    EXPECT_EQ(Message("MEMO msg=68692037", 1).bytes("msg"),
              (std::vector<std::uint8_t>{0x68, 0x69, 0x20, 0x37}));
    EXPECT_TRUE(Message("MEMO msg=-", 1).bytes("msg").empty());
}

}  // namespace
}  // namespace ochregrade::wire
