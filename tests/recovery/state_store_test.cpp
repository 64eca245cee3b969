// What a later life may trust: ages, verification, crash loops, and which configuration it starts with.
#include "support/sidecar_fixture.hpp"
#include "support/simulated_directory.hpp"

namespace ochregrade::sidecar {
namespace {

using storage::SimulatedDirectory;
using State = ConfigVersions::State;

const Timestamps kThen{1e12, 5e6, "boot-a"};
Timestamps later(Millis by, const std::string& boot = "boot-a") {
    return boot == kThen.boot_id ? Timestamps{kThen.wall + by, kThen.uptime + by, boot}
                                 : Timestamps{kThen.wall + by, 1000, boot};
}

TEST(Age, IsTakenFromTheClockThatNobodySetsWhereThatIsPossible) {
    EXPECT_EQ(age(kThen, later(5000)), 5000);
    Timestamps stepped = later(5000);
    stepped.wall -= 1e9;  // the wall clock was set back
    EXPECT_EQ(age(kThen, stepped), 5000);
    stepped.wall += 1e12;  // and forward
    EXPECT_EQ(age(kThen, stepped), 5000);
}

TEST(Age, AfterAnotherStartOfTheMachineAClockSetBackMakesNothingFresh) {
    EXPECT_EQ(age(kThen, later(60000, "boot-b")), 60000);
    EXPECT_EQ(age(kThen, later(-60000, "boot-b")), std::nullopt) << "nobody knows";
    Timestamps just = later(0, "boot-b");
    just.uptime = 300000;
    EXPECT_EQ(age(kThen, just), 300000) << "older than the machine has been up";
    EXPECT_EQ(age(kThen, {kThen.wall, kThen.uptime, ""}), kThen.uptime);
}

// A keeper whose clock the test moves. What it has been given is on the disk when its life ends.
struct Disk {
    std::shared_ptr<SimulatedDirectory> folder = std::make_shared<SimulatedDirectory>();
    Timestamps now = kThen;
    std::unique_ptr<StateStore> keeper() {
        return std::make_unique<StateStore>(folder, [this] { return now; });
    }
    RecoveredState recover() { return keeper()->recover(); }
    // A life that lasted.
    RecoveredState live(const std::function<void(StateStore&)>& during = [](StateStore&) {}) {
        const auto k = keeper();
        RecoveredState r = k->recover();
        k->confirm_stable_uptime();
        during(*k);
        return r;
    }
};

EndpointList some_hosts() {
    const json j = {{"seq", 7},
                    {"whole", true},
                    {"hosts", {host("s1", "127.0.0.1:5"), host("s2", "127.0.0.1:6", "DRAINING")}}};
    return parse_endpoint_list(j);
}

ConfigSnapshotPtr snapshot(std::uint64_t generation, const json& config) {
    auto s = std::make_shared<ConfigSnapshot>();
    s->version = generation;
    s->config = read_config(config);
    return s;
}

json base() { return a_config("127.0.0.1:1", {host("s1", "127.0.0.1:2")}); }
json changed() {
    json j = base();
    j["settings"]["limits"]["max-attempts"] = 2;
    return j;
}
std::string document(const json& j) { return read_config(j).document; }

TEST(Kept, TheListAndWhatWasLearntComeBackAged) {
    Disk disk;
    disk.live([](StateStore& k) {
        k.save_endpoints(some_hosts(), "127.0.0.1:1", {{"s1", 0, 8000, 0.4}, {"s2", 0, 0, 0.3}});
    });
    disk.now = later(3000);
    RecoveredState r = disk.live();
    ASSERT_TRUE(r.endpoints);
    EXPECT_EQ(r.endpoints->seq, 7u);
    ASSERT_EQ(r.endpoints->endpoints.size(), 2u);
    EXPECT_EQ(r.endpoints->endpoints[1].state, EndpointState::draining);
    EXPECT_EQ(text_of(r.endpoints->endpoints[0].address), "127.0.0.1:5");
    ASSERT_EQ(r.snapshots.size(), 2u);
    EXPECT_EQ(r.snapshots[0].ejected_for, 5000) << "less the time since";
    disk.now = later(61000);
    r = disk.live();
    EXPECT_TRUE(r.endpoints);
    EXPECT_TRUE(r.snapshots.empty()) << "over, and too old";
    disk.now = later(kMaxEndpointsAge + 1);
    EXPECT_FALSE(disk.live().endpoints);
}

TEST(Kept, OfUnknownAgeOnlyTheListIsUsed) {
    Disk disk;
    disk.live([](StateStore& k) { k.save_endpoints(some_hosts(), "127.0.0.1:1", {{"s1", 0, 8000, 0.4}}); });
    disk.now = later(-5e6, "boot-b");
    const RecoveredState r = disk.live();
    EXPECT_TRUE(r.endpoints);
    EXPECT_TRUE(r.snapshots.empty());
}

TEST(Kept, WhatSaysNothingNewIsNotWrittenAgain) {
    Disk disk;
    disk.live([&](StateStore& k) {
        for (int i = 0; i < 50; ++i) k.save_endpoints(some_hosts(), "x", {{"s1", 0, 8000.0 - i, 0.4 + i}});
        while (!k.settled()) std::this_thread::yield();
        EXPECT_EQ(k.counts().written, 2u) << "this, and that it has lived";
    });
}

TEST(Kept, AConfigurationOnTrialIsNotTheGoodOne) {
    Disk disk;
    ConfigVersions g;
    g.commit(snapshot(1, base()), ConfigVersions::Source::start, 0, {}, 0);
    g.commit(snapshot(2, changed()), ConfigVersions::Source::operators, 0, {1000, 0.05, 10}, 0);
    disk.live([&](StateStore& k) { k.save_config(g, document(base())); });
    const RecoveredState r = disk.live();
    EXPECT_TRUE(r.canary_interrupted);
    EXPECT_EQ(r.last_known_good->dump(), document(base()));
    EXPECT_EQ(r.next_version, 3u) << "numbers go on";
    ASSERT_EQ(r.versions.size(), 1u);
    EXPECT_EQ(r.versions[0].number(), 1u);
    EXPECT_EQ(r.versions[0].state, State::good);
}

TEST(Verified, ARecordThatMakesNoSenseGivesWayToTheOneBefore) {
    Disk disk;
    ConfigVersions g;
    g.commit(snapshot(1, base()), ConfigVersions::Source::start, 0, {}, 0);
    disk.live([&](StateStore& k) { k.save_config(g, "f"); });
    const std::vector<std::string> nonsense = {
        "not JSON", "{}", R"({"good":"{}","file":"f","next":9,"on_trial":false})",
        R"({"good":[],"file":"f","next":9,"on_trial":false,"kept":[]})",
        json{{"good", document(base())},
             {"file", ""},
             {"next", 9},
             {"on_trial", false},
             {"kept", {{{"generation", 1}, {"content_of", 1}, {"at_ms", 0}, {"config", R"({"name":5})"}}}}}
            .dump()};
    for (const std::string& payload : nonsense) {
        storage::RecordStore store(*disk.folder, [](const std::string&) {});
        ASSERT_EQ(store.save("config", payload), std::error_code());
        ASSERT_EQ(store.save("world", payload), std::error_code());
        const RecoveredState r = disk.live();
        ASSERT_TRUE(r.last_known_good) << payload;
        EXPECT_EQ(r.last_known_good->dump(), document(base())) << payload;
        EXPECT_FALSE(r.endpoints);
    }
}

TEST(CrashLoop, EndsByStartingWithoutTheState) {
    Disk disk;
    disk.live([](StateStore& k) { k.save_endpoints(some_hosts(), "x", {}); });
    for (int i = 0; i < StateStore::kMaxShortRuns; ++i) {
        const RecoveredState r = disk.recover();  // ends before it has lived
        EXPECT_TRUE(r.endpoints) << i;
        EXPECT_FALSE(r.crash_loop);
    }
    const RecoveredState r = disk.recover();
    EXPECT_TRUE(r.crash_loop);
    EXPECT_FALSE(r.endpoints);
    int aside = 0;
    for (const auto& [name, file] : disk.folder->visible) aside += name.rfind("bad-world", 0) == 0;
    EXPECT_EQ(aside, 1) << "and nothing is deleted";
}

TEST(CrashLoop, LivesThatLastedAreNoneOfIt) {
    Disk disk;
    for (int i = 0; i < 20; ++i) EXPECT_FALSE(disk.live().crash_loop);
}

TEST(UnusableFolder, ServesWithoutState) {
    for (const int error : {EROFS, ENOSPC, EIO}) {
        Disk disk;
        disk.live([](StateStore& k) { k.save_endpoints(some_hosts(), "x", {}); });
        disk.folder->fail_at = disk.folder->calls, disk.folder->fail_with = error,
        disk.folder->fail_on = true;
        const auto k = disk.keeper();
        const RecoveredState r = k->recover();
        EXPECT_FALSE(r.endpoints);
        EXPECT_FALSE(k->usable());
        k->save_endpoints(some_hosts(), "y", {});
        k->confirm_stable_uptime();
        EXPECT_TRUE(k->settled());
    }
}

// ---- Which configuration a process starts with ------------------------------------------------------------

RecoveredState left_by(const json& good, const json& file) {
    RecoveredState r;
    r.last_known_good = json::parse(document(good));
    r.file = document(file);
    r.next_version = 5;
    return r;
}

TEST(StartsWith, TheFileIfItSaysSomethingNew) {
    const Start s = decide_start(changed(), left_by(base(), base()));
    EXPECT_EQ(s.config.document, document(changed()));
    EXPECT_EQ(s.source, ConfigVersions::Source::start);
}

TEST(StartsWith, WhatOperatorsDidSinceTheFileLastSpoke) {
    json file = base();
    file["seed"] = "77";
    file["ochregrade"]["state"]["lived_ms"] = 5;
    const Start s = decide_start(file, left_by(changed(), file));
    EXPECT_EQ(s.config.settings.max_attempts, 2u);
    EXPECT_EQ(s.source, ConfigVersions::Source::recovery);
    EXPECT_EQ(s.config.seed, 0x77u) << "what is read at the start only is the file's";
    EXPECT_EQ(s.config.known_endpoints->endpoints.size(), 1u);
    EXPECT_EQ(s.config.stable_uptime, 5);
    EXPECT_EQ(s.file_document, document(file));
}

TEST(StartsWith, WhatOperatorsDidThoughAVersionBeforeNamedTheSectionOtherwise) {
    Disk disk;
    json file = base();
    file[kOwnSection]["trial"] = {{"bake_ms", 5000}};
    const auto in_former_words = [](const json& config) {
        json written = json::parse(document(config));
        written[kFormerSection] = written[kOwnSection];
        written.erase(kOwnSection);
        return written.dump();
    };
    json good = changed();
    good[kOwnSection] = file[kOwnSection];
    const json record = {{"good", in_former_words(good)},
                         {"file", in_former_words(file)},
                         {"next", 5},
                         {"on_trial", false},
                         {"kept", json::array()}};
    storage::RecordStore(*disk.folder, [](const std::string&) {}).save("config", record.dump());
    const Start s = decide_start(file, disk.recover());
    EXPECT_EQ(s.source, ConfigVersions::Source::recovery);
    EXPECT_EQ(s.config.settings.max_attempts, 2u);
}

TEST(StartsWith, TheLastKnownGoodWhereTheFileIsRefused) {
    const Start s = decide_start(std::nullopt, left_by(changed(), base()));
    EXPECT_EQ(s.config.document, document(changed()));
    EXPECT_EQ(s.source, ConfigVersions::Source::recovery);
    EXPECT_EQ(s.file_document, "") << "whatever a good file says next is new";
}

TEST(StartsWith, TheNewerListOfTheSameDiscovery) {
    const auto start = [](std::uint64_t stored, const std::string& discovery, bool known) {
        RecoveredState r;
        r.endpoints = some_hosts();
        r.endpoints->seq = stored;
        r.discovery = discovery;
        json file = base();  // knows the fifth
        if (!known) file.erase("known");
        return decide_start(file, r).endpoints_restored;
    };
    EXPECT_TRUE(start(6, "127.0.0.1:1", true));
    EXPECT_FALSE(start(5, "127.0.0.1:1", true));
    EXPECT_FALSE(start(6, "127.0.0.1:9", true)) << "another discovery counts for itself";
    EXPECT_TRUE(start(1, "127.0.0.1:9", false)) << "better than none";
}

// ---- A sidecar with state ---------------------------------------------------------------------------------

TEST(WithState, TheFirstRequestIsServedBeforeDiscoveryHasAnswered) {
    FakeServer server;
    FakeDiscovery silent;
    Disk disk;
    json config = base();
    config.erase("known");
    config["discovery"] = silent.at();
    const auto begin = [&] {
        auto keeper = disk.keeper();
        const RecoveredState r = keeper->recover();
        Start s = decide_start(config, r);
        s.state_store = std::move(keeper);
        return s;
    };
    disk.live([&](StateStore& k) {
        EndpointList list =
            parse_endpoint_list({{"seq", 7}, {"whole", true}, {"hosts", {host("s1", server.at())}}});
        k.save_endpoints(list, silent.at(), {});
    });
    Running sidecar(begin());
    App app(sidecar.at);
    EXPECT_EQ(app.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
    EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
    EXPECT_EQ(silent.wait_for(1).at(0), "/v1/servers") << "a list from the disk is no measure of what is new";
    // DiscoveryClient that has begun anew counts lower than what was stored, and is believed.
    silent.say(1, true, {host("s1", server.at())});
    EXPECT_EQ(silent.wait_for(2).at(1), "/v1/servers?after=1&wait_ms=");
}

}  // namespace
}  // namespace ochregrade::sidecar
