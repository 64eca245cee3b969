// The ids of requests whose clients disconnected: for how long and how many are remembered.
#include "proxy/departed_requests.hpp"

#include <gtest/gtest.h>

#include <string>

namespace ochregrade::sidecar {
namespace {

TEST(DepartedRequests, AreRememberedForTheRetention) {
    DepartedRequests ids(1);
    ids.add("a", 1000);
    ids.add("b", 2000);
    EXPECT_TRUE(ids.contains("a", 1000 + DepartedRequests::kRetention - 1));
    EXPECT_FALSE(ids.contains("a", 1000 + DepartedRequests::kRetention));
    EXPECT_TRUE(ids.contains("b", 1000 + DepartedRequests::kRetention));
    EXPECT_FALSE(ids.contains("c", 1000));
    EXPECT_EQ(ids.size(), 1u);
}

// Memory must not grow with the number of clients that leave.
TEST(DepartedRequests, AreBounded) {
    DepartedRequests ids(1);
    for (std::size_t i = 0; i <= DepartedRequests::kMaxIds; ++i) ids.add(std::to_string(i), 0);
    EXPECT_EQ(ids.size(), DepartedRequests::kMaxIds);
    EXPECT_FALSE(ids.contains("0", 0));
    EXPECT_TRUE(ids.contains("1", 0));
}

}  // namespace
}  // namespace ochregrade::sidecar
