#include "balancer/endpoint_watch.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

constexpr Millis kFirstRetryDelay = 1000, kMaxRetryDelay = 2000;

struct WatchFixture : ModuleFixture {
    explicit WatchFixture(const Settings& settings = make_settings()) : ModuleFixture(settings) {}
    /// Reports a failed call; returns the delay until the retry.
    Millis fail() {
        watch.schedule_retry();
        return actions_of<SetTimer>().back().at - context.now;
    }

    Timers timers{context};
    EndpointWatch watch{context, timers};
};

TEST(EndpointWatch, TheDelayDoublesUpToTheMaximumWithJitter) {
    WatchFixture fixture;
    const Millis first = fixture.fail();
    EXPECT_GE(first, 0.5 * kFirstRetryDelay);
    EXPECT_LT(first, 1.5 * kFirstRetryDelay);
    for (int i = 0; i < 20; ++i) {
        const Millis delay = fixture.fail();
        EXPECT_GE(delay, 0.5 * kMaxRetryDelay);
        EXPECT_LT(delay, 1.5 * kMaxRetryDelay);
    }
}

TEST(EndpointWatch, AShortPollIntervalBoundsTheDelay) {
    Settings settings = make_settings();
    settings.poll_interval = 300;
    WatchFixture fixture(settings);
    for (int i = 0; i < 20; ++i) EXPECT_LT(fixture.fail(), 1.5 * 400);
}

TEST(EndpointWatch, AListResetsTheDelayAndACachedOneDoesNot) {
    WatchFixture fixture;
    fixture.fail();
    fixture.fail();
    fixture.watch.list_received(EndpointUpdateKind::cached);
    EXPECT_FALSE(fixture.watch.has_current_list());
    EXPECT_GE(fixture.fail(), 0.5 * kMaxRetryDelay);
    fixture.watch.list_received(EndpointUpdateKind::full);
    EXPECT_TRUE(fixture.watch.has_current_list());
    EXPECT_LT(fixture.fail(), 1.5 * kFirstRetryDelay);
}

}  // namespace
}  // namespace ochregrade::test
