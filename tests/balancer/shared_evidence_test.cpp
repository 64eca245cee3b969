// What the module makes of the evidence that sidecars share, and what it shares itself.
#include "balancer/shared_evidence.hpp"

#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

constexpr EndpointId kServers = 40;

Settings evidence_settings(bool evidence_shared = true) {
    Settings s = make_settings();
    s.gossip_allowed = true, s.evidence_shared = evidence_shared;
    s.sidecar_count = 60, s.sidecar_index = 7;
    return s;
}

struct EvidenceRig : Rig {
    explicit EvidenceRig(bool evidence_shared = true) : Rig(evidence_settings(evidence_shared)) {
        list(EndpointUpdateKind::full, make_servers(kServers));
    }
    void receive_evidence(std::vector<EndpointEvidence> servers) { give(FleetEvidence{std::move(servers)}); }
    void receive_evidence(EndpointId server, std::uint32_t reporters, std::uint32_t failures = 9,
                          std::uint32_t successes = 0) {
        receive_evidence({{server, successes, failures, reporters, reporters, 0, 0, 0, 0}});
    }
    std::optional<PublishEvidence> published() const {
        for (const Action& a : last)
            if (const auto* s = std::get_if<PublishEvidence>(&a)) return *s;
        return {};
    }
    std::size_t ejected() const { return balancer.usage().ejected; }
    // Serves or fails requests until one goes to `server`.
    bool send_until_met(EndpointId server, Outcome outcome, int requests = 400) {
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
    EndpointId send_one() {
        const RequestId id = request();
        const EndpointId server = where(id);
        end(id, Outcome::success, 10);
        return server;
    }
};

// ---- The module alone -----------------------------------------------------------------------------------

struct EvidenceFixture : ModuleFixture {
    EvidenceFixture() : ModuleFixture(evidence_settings()) { list(kServers); }
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

TEST(SharedEvidence, AFailureIsPublishedWithRecentSuccesses) {
    EvidenceRig rig;
    const EndpointId server = rig.send_one();
    ASSERT_TRUE(rig.send_until_met(server, Outcome::success));
    EXPECT_FALSE(rig.published()) << "success alone is no news";
    ASSERT_TRUE(rig.send_until_met(server, Outcome::connection_reset));
    const auto share = rig.published();
    ASSERT_TRUE(share);
    EXPECT_EQ(share->endpoint, server);
    EXPECT_NEAR(share->failures, 1, 0.01);
    EXPECT_GT(share->successes, 0);
    EXPECT_FALSE(share->ejected);
    EXPECT_EQ(rig.count<SendGossip>(), 0) << "the note of four bytes is what this replaces";
    EvidenceRig alone(false);
    ASSERT_TRUE(alone.send_until_met(alone.send_one(), Outcome::connection_reset));
    EXPECT_FALSE(alone.published());
}

TEST(SharedEvidence, ThreeDirectReportersEjectAndTwoDoNot) {
    EvidenceRig rig;
    rig.receive_evidence(5, 2);
    EXPECT_EQ(rig.ejected(), 0U);
    rig.receive_evidence({{5, 0, 9, /*reporters=*/30, /*direct_reporters=*/2, 0, 0, 0, 0}});
    EXPECT_EQ(rig.ejected(), 0U) << "what is only passed on is no direct report";
    rig.receive_evidence(5, 3, /*failures=*/3, /*successes=*/60);
    EXPECT_EQ(rig.ejected(), 0U) << "share above 0.9";
    rig.receive_evidence(5, 3);
    EXPECT_EQ(rig.ejected(), 1U);
}

TEST(SharedEvidence, PeersEjectATenthOfTheListAtMost) {
    EvidenceRig rig;
    std::vector<EndpointEvidence> lies;
    for (EndpointId id = 1; id <= kServers; ++id) lies.push_back({id, 0, 200, 50, 50, 0, 0, 0, 0});
    for (int i = 0; i < 100; ++i) {
        rig.receive_evidence(lies);
        rig.pass(100);
        EXPECT_LE(rig.ejected(), kServers / 10);
    }
    EXPECT_EQ(rig.ejected(), kServers / 10);
    EXPECT_TRUE(rig.out(rig.request()));
}

TEST(SharedEvidence, OwnRecentSuccessesOverruleReportsOfPeers) {
    EvidenceRig rig;
    const EndpointId server = rig.send_one();
    rig.receive_evidence(server, 1);
    for (int i = 0; i < 4; ++i) ASSERT_TRUE(rig.send_until_met(server, Outcome::success));
    rig.receive_evidence(server, 8, 40);
    EXPECT_EQ(rig.ejected(), 0U);
    // What went well before anybody complained contradicts nothing.
    EvidenceRig before;
    const EndpointId other = before.send_one();
    for (int i = 0; i < 4; ++i) ASSERT_TRUE(before.send_until_met(other, Outcome::success));
    before.receive_evidence(other, 8, 40);
    EXPECT_EQ(before.ejected(), 1U);
}

TEST(SharedEvidence, SuccessesAgainstAReportArePublished) {
    EvidenceRig rig;
    const EndpointId server = rig.send_one();
    rig.receive_evidence(server, 1);
    bool published = false;
    for (int i = 0; i < 4 && !published; ++i) {
        ASSERT_TRUE(rig.send_until_met(server, Outcome::success));
        published = rig.published().has_value();
    }
    EXPECT_TRUE(published);
    EXPECT_EQ(rig.published()->failures, 0);
}

TEST(SharedEvidence, ASuccessfulTrialRestoresAndIsPublished) {
    EvidenceRig rig;
    const EndpointId server = rig.send_one();
    rig.receive_evidence(server, 5);
    ASSERT_EQ(rig.ejected(), 1U);
    EXPECT_FALSE(rig.send_until_met(server, Outcome::success, 300)) << "not within its 10 s";
    rig.pass(2000);
    rig.receive_evidence(std::vector<EndpointEvidence>{});
    ASSERT_TRUE(rig.send_until_met(server, Outcome::success));
    EXPECT_EQ(rig.ejected(), 0U);
    ASSERT_TRUE(rig.published());
    EXPECT_TRUE(rig.published()->recovered);
}

TEST(SharedEvidence, ARecoveryAtAPeerBringsTheTrialForward) {
    EvidenceRig rig;
    const EndpointId server = rig.send_one();
    rig.receive_evidence(server, 5);
    ASSERT_EQ(rig.ejected(), 1U);
    rig.receive_evidence({{server, 5, 9, 5, 5, 0, /*recoveries=*/1, 0, 0}});
    EXPECT_EQ(rig.ejected(), 1U) << "a trial of its own is still to come";
    rig.pass(2000);
    EXPECT_TRUE(rig.send_until_met(server, Outcome::success, 200));
}

TEST(SharedEvidence, ARestartOfTheEndpointEndsItsEjection) {
    EvidenceRig rig;
    rig.receive_evidence(5, 5);
    ASSERT_EQ(rig.ejected(), 1U);
    auto again = make_servers(kServers);
    again[4].started_at = rig.now;
    rig.list(EndpointUpdateKind::full, again);
    EXPECT_EQ(rig.ejected(), 0U);
}

TEST(SharedEvidence, AnEndpointWithdrawnFromPeersListsGetsNoRequests) {
    EvidenceRig rig;
    const EndpointId server = rig.send_one();
    rig.receive_evidence({{server, 0, 0, 0, 0, /*withdrawals=*/2, 0, 0, 0}});
    EXPECT_TRUE(rig.send_until_met(server, Outcome::success));
    rig.receive_evidence({{server, 0, 0, 0, 0, 3, 0, 0, 0}});
    EXPECT_FALSE(rig.send_until_met(server, Outcome::success, 200));
    rig.receive_evidence(std::vector<EndpointEvidence>{});
    EXPECT_TRUE(rig.send_until_met(server, Outcome::success));
    // A tenth of the list at most: liars must not close it.
    std::vector<EndpointEvidence> all;
    for (EndpointId id = 1; id <= kServers; ++id) all.push_back({id, 0, 0, 0, 0, 50, 0, 0, 0});
    rig.receive_evidence(all);
    std::set<EndpointId> met;
    for (int i = 0; i < 2000; ++i) rig.pass(20), met.insert(rig.send_one());
    EXPECT_GE(met.size(), 5U);
}

TEST(SharedEvidence, NothingIsPublishedWhereItIsTurnedOff) {
    EvidenceRig rig;
    rig.change(evidence_settings(false));
    const EndpointId server = rig.send_one();
    ASSERT_TRUE(rig.send_until_met(server, Outcome::connection_reset));
    EXPECT_FALSE(rig.published());
}

}  // namespace
}  // namespace ochregrade::test
