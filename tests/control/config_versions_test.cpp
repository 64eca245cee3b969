// Tests of the configuration versions and their canaries. The tests have no clock: they pass the times.
#include "control/config_versions.hpp"

#include <gtest/gtest.h>

namespace ochregrade::sidecar {
namespace {

using Source = ConfigVersions::Source;
using State = ConfigVersions::State;

struct VersionsFixture {
    ConfigVersions versions;
    Millis now = 1e6;
    VersionsFixture() { commit(Source::start); }
    std::uint64_t commit(Source source, std::uint64_t content_version = 0, CanaryRule rule = {}) {
        auto snapshot = std::make_shared<ConfigSnapshot>();
        snapshot->version = versions.next_version();
        snapshot->config.longest_deadline = 1000;
        versions.commit(snapshot, source, content_version, rule, now);
        return snapshot->version;
    }
    void answers(int served, int lost, std::uint64_t version = 0) {
        for (int i = 0; i < served + lost; ++i)
            versions.record_answer(version ? version : versions.current().number(), i < served, now);
    }
    State state(std::uint64_t version) { return versions.find(version)->state; }
};

const CanaryRule kCanaryRule{5000, 0.05, 20};

TEST(Canary, PassesIfShareServedDoesNotFall) {
    VersionsFixture fixture;
    fixture.answers(90, 10);
    const auto next = fixture.commit(Source::operators, 0, kCanaryRule);
    EXPECT_EQ(fixture.state(next), State::canary);
    fixture.answers(88, 12);
    EXPECT_FALSE(fixture.versions.due(fixture.now + 4999));
    EXPECT_EQ(fixture.state(next), State::canary) << "the canary lasts for its whole duration";
    EXPECT_FALSE(fixture.versions.due(fixture.now + 5000));
    EXPECT_EQ(fixture.state(next), State::good);
}

TEST(Canary, IsRolledBackOnceEnoughSamplesShowAFall) {
    VersionsFixture fixture;
    fixture.answers(100, 0);
    const auto next = fixture.commit(Source::operators, 0, kCanaryRule);
    fixture.answers(0, 19);
    EXPECT_FALSE(fixture.versions.due(fixture.now)) << "fewer responses than min_samples";
    fixture.answers(0, 1);
    const auto rollback = fixture.versions.due(fixture.now);
    ASSERT_TRUE(rollback);
    EXPECT_EQ(rollback->target->number(), 1u);
    EXPECT_TRUE(fixture.versions.due(fixture.now)) << "returned until the rollback is committed";
    const auto third = fixture.commit(Source::canary, rollback->target->content_version);
    EXPECT_EQ(fixture.state(next), State::rolled_back);
    EXPECT_EQ(fixture.state(third), State::good);
    EXPECT_EQ(fixture.versions.current().content_version, 1u);
    EXPECT_FALSE(fixture.versions.due(fixture.now + 1e6));
}

TEST(Canary, IsEvaluatedByItsOwnRequestsOnly) {
    VersionsFixture fixture;
    fixture.answers(100, 0);
    const auto next = fixture.commit(Source::operators, 0, kCanaryRule);
    fixture.answers(0, 200, 1);  // responses to requests that started before the canary, under version 1
    fixture.answers(40, 0, next);
    EXPECT_FALSE(fixture.versions.due(fixture.now + 6000));
    EXPECT_EQ(fixture.state(next), State::good);
}

TEST(Canary, FailsWithoutEnoughSamples) {
    VersionsFixture fixture;
    fixture.answers(100, 0);
    fixture.commit(Source::file, 0, kCanaryRule);
    fixture.answers(19, 0);
    EXPECT_FALSE(fixture.versions.due(fixture.now + 19999))
        << "the canary is extended while samples are missing";
    EXPECT_TRUE(fixture.versions.due(fixture.now + 20000)) << "the extension is limited";
}

TEST(Canary, WithoutBaselineIsComparedWithFullShare) {
    VersionsFixture fixture;
    fixture.commit(Source::file, 0, kCanaryRule);
    fixture.answers(18, 2);
    EXPECT_TRUE(fixture.versions.due(fixture.now));
}

TEST(Canary, LastsAtLeastTheLongestDeadline) {
    VersionsFixture fixture;
    fixture.answers(100, 0);
    const auto next = fixture.commit(Source::file, 0, {10, 0.05, 20});
    fixture.answers(50, 0);
    EXPECT_FALSE(fixture.versions.due(fixture.now + 999));
    EXPECT_EQ(fixture.state(next), State::canary);
}

TEST(Canary, SupersededCanaryLeavesLastGoodVersionAsFallback) {
    VersionsFixture fixture;
    fixture.answers(100, 0);
    const auto second = fixture.commit(Source::operators, 0, kCanaryRule);
    const auto third = fixture.commit(Source::file, 0, kCanaryRule);
    EXPECT_EQ(fixture.state(second), State::superseded);
    EXPECT_EQ(fixture.versions.canary()->fallback, 1u);
    fixture.answers(0, 20, third);
    EXPECT_EQ(fixture.versions.due(fixture.now)->target->number(), 1u);
}

TEST(Rollback, DuringACanaryEndsIt) {
    VersionsFixture fixture;
    const auto second = fixture.commit(Source::operators, 0, kCanaryRule);
    ASSERT_EQ(fixture.versions.previous()->number(), 1u);
    fixture.commit(Source::rollback, 1, kCanaryRule);
    EXPECT_EQ(fixture.state(second), State::withdrawn);
    EXPECT_FALSE(fixture.versions.canary()) << "the target was already found good";
}

TEST(Rollback, RepeatedRollbacksReturnToOlderVersions) {
    VersionsFixture fixture;
    fixture.commit(Source::operators);
    fixture.commit(Source::operators);
    ASSERT_EQ(fixture.versions.previous()->number(), 2u);
    fixture.commit(Source::rollback, 2);  // version 4, with the content of version 2
    ASSERT_EQ(fixture.versions.previous()->number(), 1u);
    fixture.commit(Source::rollback, 1);
    EXPECT_EQ(fixture.versions.previous(), nullptr);
}

TEST(Rollback, SkipsVersionsNotFoundGood) {
    VersionsFixture fixture;
    fixture.commit(Source::operators, 0, kCanaryRule);  // version 2, superseded by version 3
    fixture.commit(Source::operators);                  // version 3
    fixture.commit(Source::operators);                  // version 4
    ASSERT_EQ(fixture.versions.previous()->number(), 3u);
    fixture.commit(Source::rollback, 3);
    EXPECT_EQ(fixture.versions.previous()->number(), 1u);
}

TEST(ConfigVersions, NewestVersionsAndCanaryFallbackAreRetained) {
    VersionsFixture fixture;
    for (int i = 0; i < 20; ++i) fixture.commit(Source::operators, 0, kCanaryRule);
    EXPECT_EQ(fixture.versions.retained().size(), ConfigVersions::kMaxRetained);
    ASSERT_NE(fixture.versions.find(1), nullptr) << "no later version was found good";
    EXPECT_EQ(fixture.versions.canary()->fallback, 1u);
    EXPECT_EQ(fixture.versions.find(5), nullptr);
}

TEST(ConfigVersions, RecentCoversTheLastMinute) {
    VersionsFixture fixture;
    fixture.answers(10, 0);
    fixture.now += 30000;
    fixture.answers(0, 10);
    EXPECT_EQ(fixture.versions.recent(fixture.now).all, 20u);
    fixture.now += 31000;
    EXPECT_EQ(fixture.versions.recent(fixture.now).all, 10u);
    EXPECT_EQ(fixture.versions.recent(fixture.now).served, 0u);
}

}  // namespace
}  // namespace ochregrade::sidecar
