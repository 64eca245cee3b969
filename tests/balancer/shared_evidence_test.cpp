// Tests of shared evidence: which evidence a sidecar publishes, and how it acts on the reports of the others.
// The first tests use the module alone, the later ones the balancer.
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

struct FleetEvidenceFixture : BalancerFixture {
    explicit FleetEvidenceFixture(bool evidence_shared = true)
        : BalancerFixture(evidence_settings(evidence_shared)) {
        list(EndpointUpdateKind::full, make_endpoints(kServers));
    }
    void receive_evidence(std::vector<EndpointEvidence> servers) {
        handle_event(FleetEvidence{std::move(servers)});
    }
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
    // Sends at most `requests` requests, until one goes to `server`. That attempt ends with `outcome`, all
    // others with success. Returns whether `server` was selected.
    bool send_until_selected(EndpointId server, Outcome outcome, int requests = 400) {
        for (int i = 0; i < requests; ++i) {
            advance(20);
            const RequestId id = request();
            if (!in_flight(id)) continue;
            const bool selected = endpoint_of(id) == server;
            end(id, selected ? outcome : Outcome::success, 10);
            if (selected) return true;
        }
        return false;
    }
    EndpointId send_one() {
        const RequestId id = request();
        const EndpointId server = endpoint_of(id);
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
    FleetEvidenceFixture fixture;
    const EndpointId server = fixture.send_one();
    ASSERT_TRUE(fixture.send_until_selected(server, Outcome::success));
    EXPECT_FALSE(fixture.published()) << "success alone is not published";
    ASSERT_TRUE(fixture.send_until_selected(server, Outcome::connection_reset));
    const auto share = fixture.published();
    ASSERT_TRUE(share);
    EXPECT_EQ(share->endpoint, server);
    EXPECT_NEAR(share->failures, 1, 0.01);
    EXPECT_GT(share->successes, 0);
    EXPECT_FALSE(share->ejected);
    EXPECT_EQ(fixture.count<SendGossip>(), 0) << "shared evidence replaces the failure gossip of four bytes";
    FleetEvidenceFixture alone(false);
    ASSERT_TRUE(alone.send_until_selected(alone.send_one(), Outcome::connection_reset));
    EXPECT_FALSE(alone.published());
}

TEST(SharedEvidence, ThreeDirectReportersEjectAndTwoDoNot) {
    FleetEvidenceFixture fixture;
    fixture.receive_evidence(5, 2);
    EXPECT_EQ(fixture.ejected(), 0U);
    fixture.receive_evidence({{5, 0, 9, /*reporters=*/30, /*direct_reporters=*/2, 0, 0, 0, 0}});
    EXPECT_EQ(fixture.ejected(), 0U) << "a relayed report is not a direct report";
    fixture.receive_evidence(5, 3, /*failures=*/3, /*successes=*/60);
    EXPECT_EQ(fixture.ejected(), 0U) << "the success share is above 0.9";
    fixture.receive_evidence(5, 3);
    EXPECT_EQ(fixture.ejected(), 1U);
}

TEST(SharedEvidence, PeersEjectATenthOfTheListAtMost) {
    FleetEvidenceFixture fixture;
    std::vector<EndpointEvidence> false_reports;
    for (EndpointId id = 1; id <= kServers; ++id) false_reports.push_back({id, 0, 200, 50, 50, 0, 0, 0, 0});
    for (int i = 0; i < 100; ++i) {
        fixture.receive_evidence(false_reports);
        fixture.advance(100);
        EXPECT_LE(fixture.ejected(), kServers / 10);
    }
    EXPECT_EQ(fixture.ejected(), kServers / 10);
    EXPECT_TRUE(fixture.in_flight(fixture.request()));
}

TEST(SharedEvidence, OwnRecentSuccessesOverruleReportsOfPeers) {
    FleetEvidenceFixture fixture;
    const EndpointId server = fixture.send_one();
    fixture.receive_evidence(server, 1);
    for (int i = 0; i < 4; ++i) ASSERT_TRUE(fixture.send_until_selected(server, Outcome::success));
    fixture.receive_evidence(server, 8, 40);
    EXPECT_EQ(fixture.ejected(), 0U);
    // The sidecar's own successes before the first report of failures do not contradict the reports.
    FleetEvidenceFixture before;
    const EndpointId other = before.send_one();
    for (int i = 0; i < 4; ++i) ASSERT_TRUE(before.send_until_selected(other, Outcome::success));
    before.receive_evidence(other, 8, 40);
    EXPECT_EQ(before.ejected(), 1U);
}

TEST(SharedEvidence, SuccessesAgainstAReportArePublished) {
    FleetEvidenceFixture fixture;
    const EndpointId server = fixture.send_one();
    fixture.receive_evidence(server, 1);
    bool published = false;
    for (int i = 0; i < 4 && !published; ++i) {
        ASSERT_TRUE(fixture.send_until_selected(server, Outcome::success));
        published = fixture.published().has_value();
    }
    EXPECT_TRUE(published);
    EXPECT_EQ(fixture.published()->failures, 0);
}

TEST(SharedEvidence, ASuccessfulTrialRestoresAndIsPublished) {
    FleetEvidenceFixture fixture;
    const EndpointId server = fixture.send_one();
    fixture.receive_evidence(server, 5);
    ASSERT_EQ(fixture.ejected(), 1U);
    EXPECT_FALSE(fixture.send_until_selected(server, Outcome::success, 300))
        << "no half-open trial within the backoff of 10 s";
    fixture.advance(2000);
    fixture.receive_evidence(std::vector<EndpointEvidence>{});
    ASSERT_TRUE(fixture.send_until_selected(server, Outcome::success));
    EXPECT_EQ(fixture.ejected(), 0U);
    ASSERT_TRUE(fixture.published());
    EXPECT_TRUE(fixture.published()->recovered);
}

TEST(SharedEvidence, ARecoveryAtAPeerBringsTheTrialForward) {
    FleetEvidenceFixture fixture;
    const EndpointId server = fixture.send_one();
    fixture.receive_evidence(server, 5);
    ASSERT_EQ(fixture.ejected(), 1U);
    fixture.receive_evidence({{server, 5, 9, 5, 5, 0, /*recoveries=*/1, 0, 0}});
    EXPECT_EQ(fixture.ejected(), 1U) << "the sidecar's own half-open trial is still to come";
    fixture.advance(2000);
    EXPECT_TRUE(fixture.send_until_selected(server, Outcome::success, 200));
}

TEST(SharedEvidence, ARestartOfTheEndpointEndsItsEjection) {
    FleetEvidenceFixture fixture;
    fixture.receive_evidence(5, 5);
    ASSERT_EQ(fixture.ejected(), 1U);
    auto restarted = make_endpoints(kServers);
    restarted[4].started_at = fixture.now;
    fixture.list(EndpointUpdateKind::full, restarted);
    EXPECT_EQ(fixture.ejected(), 0U);
}

TEST(SharedEvidence, AnEndpointWithdrawnFromPeersListsGetsNoRequests) {
    FleetEvidenceFixture fixture;
    const EndpointId server = fixture.send_one();
    fixture.receive_evidence({{server, 0, 0, 0, 0, /*withdrawals=*/2, 0, 0, 0}});
    EXPECT_TRUE(fixture.send_until_selected(server, Outcome::success));
    fixture.receive_evidence({{server, 0, 0, 0, 0, 3, 0, 0, 0}});
    EXPECT_FALSE(fixture.send_until_selected(server, Outcome::success, 200));
    fixture.receive_evidence(std::vector<EndpointEvidence>{});
    EXPECT_TRUE(fixture.send_until_selected(server, Outcome::success));
    // False reports about all endpoints withdraw at most a tenth of the list.
    std::vector<EndpointEvidence> all;
    for (EndpointId id = 1; id <= kServers; ++id) all.push_back({id, 0, 0, 0, 0, 50, 0, 0, 0});
    fixture.receive_evidence(all);
    std::set<EndpointId> used;
    for (int i = 0; i < 2000; ++i) fixture.advance(20), used.insert(fixture.send_one());
    EXPECT_GE(used.size(), 5U);
}

TEST(SharedEvidence, NothingIsPublishedWhereItIsTurnedOff) {
    FleetEvidenceFixture fixture;
    fixture.change_settings(evidence_settings(false));
    const EndpointId server = fixture.send_one();
    ASSERT_TRUE(fixture.send_until_selected(server, Outcome::connection_reset));
    EXPECT_FALSE(fixture.published());
}

}  // namespace
}  // namespace ochregrade::test
