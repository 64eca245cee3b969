// Tests what is written and which part of the stored state a later run uses: the age of records, their
// validation, crash loops, and a directory whose calls fail.
#include "state_directory.hpp"

namespace ochregrade::sidecar {
namespace {

using State = ConfigVersions::State;

TEST(StateAge, WithinABootIsTakenFromTheUptimeClock) {
    EXPECT_EQ(age(kSavedAt, after(5000)), 5000);
    Timestamps stepped = after(5000);
    stepped.wall -= 1e9;  // the wall clock was set back
    EXPECT_EQ(age(kSavedAt, stepped), 5000);
    stepped.wall += 1e12;  // the wall clock was set forward
    EXPECT_EQ(age(kSavedAt, stepped), 5000);
}

TEST(StateAge, AfterARebootAClockSetBackDoesNotReduceIt) {
    EXPECT_EQ(age(kSavedAt, after(60000, "boot-b")), 60000);
    EXPECT_EQ(age(kSavedAt, after(-60000, "boot-b")), std::nullopt) << "the age is unknown";
    Timestamps just = after(0, "boot-b");
    just.uptime = 300000;
    EXPECT_EQ(age(kSavedAt, just), 300000) << "the record is at least as old as the boot";
    EXPECT_EQ(age(kSavedAt, {kSavedAt.wall, kSavedAt.uptime, ""}), kSavedAt.uptime);
}

ConfigSnapshotPtr snapshot(std::uint64_t version, const json& config) {
    auto made = std::make_shared<ConfigSnapshot>();
    made->version = version;
    made->config = read_config(config);
    return made;
}

TEST(StateStore, EndpointsAndSnapshotsAreRestoredWithTheirAge) {
    StateDirectory state;
    state.run_stably([](StateStore& store) {
        store.save_endpoints(two_endpoints(), "127.0.0.1:1", {{"s1", 0, 8000, 0.4}, {"s2", 0, 0, 0.3}});
    });
    state.now = after(3000);
    RecoveredState recovered = state.run_stably();
    ASSERT_TRUE(recovered.endpoints);
    EXPECT_EQ(recovered.endpoints->seq, 7u);
    ASSERT_EQ(recovered.endpoints->endpoints.size(), 2u);
    EXPECT_EQ(recovered.endpoints->endpoints[1].state, EndpointState::draining);
    EXPECT_EQ(text_of(recovered.endpoints->endpoints[0].address), "127.0.0.1:5");
    ASSERT_EQ(recovered.snapshots.size(), 2u);
    EXPECT_EQ(recovered.snapshots[0].ejected_for, 5000) << "reduced by the time since the record was written";
    state.now = after(61000);
    recovered = state.run_stably();
    EXPECT_TRUE(recovered.endpoints);
    EXPECT_TRUE(recovered.snapshots.empty()) << "the ejection has expired and the latency ratios are too old";
    state.now = after(kMaxEndpointsAge + 1);
    EXPECT_FALSE(state.run_stably().endpoints);
}

TEST(StateStore, OfUnknownAgeOnlyTheEndpointListIsRestored) {
    StateDirectory state;
    state.run_stably([](StateStore& store) {
        store.save_endpoints(two_endpoints(), "127.0.0.1:1", {{"s1", 0, 8000, 0.4}});
    });
    state.now = after(-5e6, "boot-b");
    const RecoveredState recovered = state.run_stably();
    EXPECT_TRUE(recovered.endpoints);
    EXPECT_TRUE(recovered.snapshots.empty());
}

TEST(StateStore, UnchangedStateIsNotWrittenAgain) {
    StateDirectory state;
    state.run_stably([&](StateStore& store) {
        for (int i = 0; i < 50; ++i)
            store.save_endpoints(two_endpoints(), "x", {{"s1", 0, 8000.0 - i, 0.4 + i}});
        while (!store.settled()) std::this_thread::yield();
        EXPECT_EQ(store.counts().written, 2u) << "one record of the endpoints and one of the starts";
    });
}

TEST(StateStore, AConfigurationInItsCanaryIsNotLastKnownGood) {
    StateDirectory state;
    ConfigVersions versions;
    versions.commit(snapshot(1, base_config()), ConfigVersions::Source::start, 0, {}, 0);
    versions.commit(snapshot(2, changed_config()), ConfigVersions::Source::operators, 0, {1000, 0.05, 10}, 0);
    state.run_stably([&](StateStore& store) { store.save_config(versions, document_of(base_config())); });
    const RecoveredState recovered = state.run_stably();
    EXPECT_TRUE(recovered.canary_interrupted);
    EXPECT_EQ(recovered.last_known_good->dump(), document_of(base_config()));
    EXPECT_EQ(recovered.next_version, 3u) << "version numbers continue";
    ASSERT_EQ(recovered.versions.size(), 1u);
    EXPECT_EQ(recovered.versions[0].number(), 1u);
    EXPECT_EQ(recovered.versions[0].state, State::good);
}

TEST(RecordValidation, AnInvalidRecordIsReplacedByTheOneBefore) {
    StateDirectory state;
    ConfigVersions versions;
    versions.commit(snapshot(1, base_config()), ConfigVersions::Source::start, 0, {}, 0);
    state.run_stably([&](StateStore& store) { store.save_config(versions, "f"); });
    const std::vector<std::string> nonsense = {
        "not JSON", "{}", R"({"good":"{}","file":"f","next":9,"on_trial":false})",
        R"({"good":[],"file":"f","next":9,"on_trial":false,"kept":[]})",
        json{{"good", document_of(base_config())},
             {"file", ""},
             {"next", 9},
             {"on_trial", false},
             {"kept", {{{"generation", 1}, {"content_of", 1}, {"at_ms", 0}, {"config", R"({"name":5})"}}}}}
            .dump()};
    for (const std::string& payload : nonsense) {
        storage::RecordStore store(*state.folder, [](const std::string&) {});
        ASSERT_EQ(store.save("config", payload), std::error_code());
        ASSERT_EQ(store.save("world", payload), std::error_code());
        const RecoveredState recovered = state.run_stably();
        ASSERT_TRUE(recovered.last_known_good) << payload;
        EXPECT_EQ(recovered.last_known_good->dump(), document_of(base_config())) << payload;
        EXPECT_FALSE(recovered.endpoints);
    }
}

TEST(CrashLoop, EndsByStartingWithoutTheState) {
    StateDirectory state;
    state.run_stably([](StateStore& store) { store.save_endpoints(two_endpoints(), "x", {}); });
    for (int i = 0; i < StateStore::kMaxShortRuns; ++i) {
        const RecoveredState recovered = state.recover();  // this run ends before it is confirmed as stable
        EXPECT_TRUE(recovered.endpoints) << i;
        EXPECT_FALSE(recovered.crash_loop);
    }
    const RecoveredState recovered = state.recover();
    EXPECT_TRUE(recovered.crash_loop);
    EXPECT_FALSE(recovered.endpoints);
    int quarantined = 0;
    for (const auto& [name, file] : state.folder->visible) quarantined += name.rfind("bad-world", 0) == 0;
    EXPECT_EQ(quarantined, 1) << "the state must be quarantined, not deleted";
}

TEST(CrashLoop, StableRunsAreNotCounted) {
    StateDirectory state;
    for (int i = 0; i < 20; ++i) EXPECT_FALSE(state.run_stably().crash_loop);
}

TEST(UnusableFolder, ServesWithoutState) {
    for (const int error : {EROFS, ENOSPC, EIO}) {
        StateDirectory state;
        state.run_stably([](StateStore& store) { store.save_endpoints(two_endpoints(), "x", {}); });
        state.folder->fail_at = state.folder->calls, state.folder->fail_with = error,
        state.folder->fail_permanently = true;
        const auto store = state.open();
        const RecoveredState recovered = store->recover();
        EXPECT_FALSE(recovered.endpoints);
        EXPECT_FALSE(store->usable());
        store->save_endpoints(two_endpoints(), "y", {});
        store->confirm_stable_uptime();
        EXPECT_TRUE(store->settled());
    }
}

}  // namespace
}  // namespace ochregrade::sidecar
