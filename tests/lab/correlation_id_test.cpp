// Correlation ids of the lab's clients.
#include "lab/correlation_id.hpp"

#include <gtest/gtest.h>

namespace ochregrade::lab {
namespace {

TEST(CorrelationId, CarriesTheSidecar) {
    for (const int sidecar : {0, 1, 299, 1999}) {
        const std::string id = correlation_id(sidecar, 123456789);
        EXPECT_EQ(id.size(), 16u);
        EXPECT_EQ(sidecar_of(id), sidecar);
    }
    EXPECT_EQ(sidecar_of("not-one-of-ours!"), -1);
    EXPECT_EQ(sidecar_of("abc"), -1);
}

}  // namespace
}  // namespace ochregrade::lab
