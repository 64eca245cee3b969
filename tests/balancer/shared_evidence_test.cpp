// What the module makes of the evidence that sidecars share, and what it shares itself.
#include "balancer/shared_evidence.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

constexpr EndpointId kServers = 40;

Settings sharing(bool share = true) {
    Settings s = make_settings();
    s.gossip_allowed = true, s.evidence_shared = share;
    s.sidecar_count = 60, s.sidecar_index = 7;
    return s;
}

struct Sharing : Rig {
    explicit Sharing(bool share = true) : Rig(sharing(share)) {
        list(EndpointUpdateKind::full, make_servers(kServers));
    }
    void hear(std::vector<EndpointEvidence> servers) { give(FleetEvidence{std::move(servers)}); }
    void hear(EndpointId server, std::uint32_t witnesses, std::uint32_t bad = 9, std::uint32_t good = 0) {
        hear({{server, good, bad, witnesses, witnesses, 0, 0, 0, 0}});
    }
    std::optional<PublishEvidence> shared() const {
        for (const Action& a : last)
            if (const auto* s = std::get_if<PublishEvidence>(&a)) return *s;
        return {};
    }
    std::size_t removed() const { return balancer.usage().ejected; }
    // Serves or fails requests until one goes to `server`.
    bool meet(EndpointId server, Outcome outcome, int requests = 400) {
        for (int i = 0; i < requests; ++i) {
            pass(20);
            const RequestId id = request();
            if (!out(id)) continue;
            const bool met = where(id) == server;
            end(id, met ? outcome : Outcome::success, 10);
            if (met) return true;
        }
        return false;
    }
    EndpointId used() {
        const RequestId id = request();
        const EndpointId server = where(id);
        end(id, Outcome::success, 10);
        return server;
    }
};

// ---- The module alone -----------------------------------------------------------------------------------

struct EvidenceFixture : ModuleFixture {
    EvidenceFixture() : ModuleFixture(sharing()) { list(kServers); }
    void receive(EndpointId id, std::uint32_t reporters) {
        evidence.receive({{{id, /*successes=*/0, /*failures=*/20, reporters, reporters, 0, 0, 0, 0}}});
    }

    detail::OutlierDetection outliers{context, table};
    detail::SharedEvidence evidence{context, table, outliers};
};

TEST(SharedEvidence, AQuorumOfReportsEjects) {
    EvidenceFixture fixture;
    fixture.receive(5, detail::kEvidenceQuorum - 1);
    EXPECT_TRUE(fixture.endpoint(5).ejection.is_available());
    fixture.receive(5, detail::kEvidenceQuorum);
    EXPECT_TRUE(fixture.endpoint(5).ejection.is_ejected());
    EXPECT_TRUE(fixture.endpoint(5).ejection.is_ejected_by_fleet());
}

TEST(SharedEvidence, OurOwnFailureCountsAsAReport) {
    EvidenceFixture fixture;
    fixture.evidence.record_outcome(fixture.endpoint(5), Outcome::server_error);
    EXPECT_EQ(fixture.actions_of<PublishEvidence>().size(), 1U);
    fixture.receive(5, detail::kEvidenceQuorum - 1);
    EXPECT_TRUE(fixture.endpoint(5).ejection.is_ejected());
}

TEST(SharedEvidence, FailuresArePublishedTwiceASecondAtMost) {
    EvidenceFixture fixture;
    for (int i = 0; i < 21; ++i) {
        fixture.evidence.record_outcome(fixture.endpoint(5), Outcome::server_error);
        fixture.context.now += 100;
    }
    EXPECT_EQ(fixture.actions_of<PublishEvidence>().size(), 5U) << "in 2 s";
}

// ---- Within the balancer --------------------------------------------------------------------------------

TEST(Shared, AFailureIsSharedWithWhatWentWellOfLate) {
    Sharing rig;
    const EndpointId server = rig.used();
    ASSERT_TRUE(rig.meet(server, Outcome::success));
    EXPECT_FALSE(rig.shared()) << "success alone is no news";
    ASSERT_TRUE(rig.meet(server, Outcome::connection_reset));
    const auto share = rig.shared();
    ASSERT_TRUE(share);
    EXPECT_EQ(share->endpoint, server);
    EXPECT_NEAR(share->failures, 1, 0.01);
    EXPECT_GT(share->successes, 0);
    EXPECT_FALSE(share->ejected);
    EXPECT_EQ(rig.count<SendGossip>(), 0) << "the note of four bytes is what this replaces";
    Sharing alone(false);
    ASSERT_TRUE(alone.meet(alone.used(), Outcome::connection_reset));
    EXPECT_FALSE(alone.shared());
}

TEST(Shared, ThreeWitnessesRemoveAServerAndTwoDoNot) {
    Sharing rig;
    rig.hear(5, 2);
    EXPECT_EQ(rig.removed(), 0U);
    rig.hear({{5, 0, 9, /*complaints=*/30, /*witnesses=*/2, 0, 0, 0, 0}});
    EXPECT_EQ(rig.removed(), 0U) << "what is only passed on is no witness";
    rig.hear(5, 3, /*bad=*/3, /*good=*/60);
    EXPECT_EQ(rig.removed(), 0U) << "share above 0.9";
    rig.hear(5, 3);
    EXPECT_EQ(rig.removed(), 1U);
}

TEST(Shared, HearsayRemovesATenthOfTheListAtMost) {
    Sharing rig;
    std::vector<EndpointEvidence> lies;
    for (EndpointId id = 1; id <= kServers; ++id) lies.push_back({id, 0, 200, 50, 50, 0, 0, 0, 0});
    for (int i = 0; i < 100; ++i) {
        rig.hear(lies);
        rig.pass(100);
        EXPECT_LE(rig.removed(), kServers / 10);
    }
    EXPECT_EQ(rig.removed(), kServers / 10);
    EXPECT_TRUE(rig.out(rig.request()));
}

TEST(Shared, OwnFreshSuccessesGoBeforeHearsay) {
    Sharing rig;
    const EndpointId server = rig.used();
    rig.hear(server, 1);
    for (int i = 0; i < 4; ++i) ASSERT_TRUE(rig.meet(server, Outcome::success));
    rig.hear(server, 8, 40);
    EXPECT_EQ(rig.removed(), 0U);
    // What went well before anybody complained contradicts nothing.
    Sharing before;
    const EndpointId other = before.used();
    for (int i = 0; i < 4; ++i) ASSERT_TRUE(before.meet(other, Outcome::success));
    before.hear(other, 8, 40);
    EXPECT_EQ(before.removed(), 1U);
}

TEST(Shared, WhoSeesItWorkSaysSo) {
    Sharing rig;
    const EndpointId server = rig.used();
    rig.hear(server, 1);
    bool said = false;
    for (int i = 0; i < 4 && !said; ++i) {
        ASSERT_TRUE(rig.meet(server, Outcome::success));
        said = rig.shared().has_value();
    }
    EXPECT_TRUE(said);
    EXPECT_EQ(rig.shared()->failures, 0);
}

TEST(Shared, AfterTheBackoffATrialBringsItBackAndIsShared) {
    Sharing rig;
    const EndpointId server = rig.used();
    rig.hear(server, 5);
    ASSERT_EQ(rig.removed(), 1U);
    EXPECT_FALSE(rig.meet(server, Outcome::success, 300)) << "not within its 10 s";
    rig.pass(2000);
    rig.hear(std::vector<EndpointEvidence>{});
    ASSERT_TRUE(rig.meet(server, Outcome::success));
    EXPECT_EQ(rig.removed(), 0U);
    ASSERT_TRUE(rig.shared());
    EXPECT_TRUE(rig.shared()->recovered);
}

TEST(Shared, AnothersSuccessBringsTheTrialForward) {
    Sharing rig;
    const EndpointId server = rig.used();
    rig.hear(server, 5);
    ASSERT_EQ(rig.removed(), 1U);
    rig.hear({{server, 5, 9, 5, 5, 0, /*restored=*/1, 0, 0}});
    EXPECT_EQ(rig.removed(), 1U) << "a trial of its own is still to come";
    rig.pass(2000);
    EXPECT_TRUE(rig.meet(server, Outcome::success, 200));
}

TEST(Shared, AnotherProcessUnderTheNameIsNotBlamed) {
    Sharing rig;
    rig.hear(5, 5);
    ASSERT_EQ(rig.removed(), 1U);
    auto again = make_servers(kServers);
    again[4].started_at = rig.now;
    rig.list(EndpointUpdateKind::full, again);
    EXPECT_EQ(rig.removed(), 0U);
}

TEST(Shared, WhatOthersListsCloseGetsNothingNew) {
    Sharing rig;
    const EndpointId server = rig.used();
    rig.hear({{server, 0, 0, 0, 0, /*closed=*/2, 0, 0, 0}});
    EXPECT_TRUE(rig.meet(server, Outcome::success));
    rig.hear({{server, 0, 0, 0, 0, 3, 0, 0, 0}});
    EXPECT_FALSE(rig.meet(server, Outcome::success, 200));
    rig.hear(std::vector<EndpointEvidence>{});
    EXPECT_TRUE(rig.meet(server, Outcome::success));
    // A tenth of the list at most: liars must not close it.
    std::vector<EndpointEvidence> all;
    for (EndpointId id = 1; id <= kServers; ++id) all.push_back({id, 0, 0, 0, 0, 50, 0, 0, 0});
    rig.hear(all);
    std::set<EndpointId> met;
    for (int i = 0; i < 2000; ++i) rig.pass(20), met.insert(rig.used());
    EXPECT_GE(met.size(), 5U);
}

TEST(Shared, TurnedOffNothingOfItIsHeeded) {
    Sharing rig;
    rig.change(sharing(false));
    const EndpointId server = rig.used();
    ASSERT_TRUE(rig.meet(server, Outcome::connection_reset));
    EXPECT_FALSE(rig.shared());
}

}  // namespace
}  // namespace ochregrade::test
