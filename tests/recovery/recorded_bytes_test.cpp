// Tests that this version reads the files of an earlier version: a configuration file with every field, and a
// state folder, whose fields are recovered and which this version writes with the same bytes.
#include <unistd.h>

#include "support/recorded.hpp"
#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

namespace fs = std::filesystem;

// Returns the document as this version writes it. Recorded documents have the former name of the program's
// section.
std::string in_current_format(const std::string& document) {
    return parse_config(document, "a recorded document").dump();
}

// ---- The configuration ------------------------------------------------------------------------------------

Config recorded_config() {
    return read_config(parse_config(recorded::read("config.json"), "tests/recorded/config.json"));
}

TEST(RecordedConfiguration, HasTheFieldsOfTheProcess) {
    const Config c = recorded_config();
    EXPECT_EQ(c.name, "n3");
    EXPECT_EQ(text_of(c.listen), "127.0.0.1:8081");
    EXPECT_EQ(text_of(c.discovery_address), "127.0.0.2:8500");
    EXPECT_EQ(c.seed, 0x1f2e3d4c5b6a7988u);
    EXPECT_EQ(c.sockets, 512u);
    EXPECT_EQ(c.memory_mb, 64u);
    EXPECT_EQ(text_of(c.peer_listen.value()), "127.0.0.4:7946");
    ASSERT_EQ(c.peers.size(), 4u);
    EXPECT_EQ(text_of(c.peers[0]), "127.0.0.1:7946");
    EXPECT_EQ(text_of(c.peers[3]), "127.0.0.4:7946");
    EXPECT_EQ(text_of(c.peers_all.value()), "127.0.0.255:7946");
}

TEST(RecordedConfiguration, HasTheFieldsOfTheProgramsSection) {
    const Config c = recorded_config();
    EXPECT_EQ(text_of(c.operator_endpoint.value()), "127.0.0.1:9901");
    EXPECT_EQ(c.state_directory, "/var/lib/cobaltshift");
    EXPECT_EQ(c.stable_uptime, 3000);
    EXPECT_EQ(c.canary.duration, 5000);
    EXPECT_EQ(c.canary.max_drop, 0.125);
    EXPECT_EQ(c.canary.min_samples, 20u);
    EXPECT_EQ(c.epoch, 7u);
    EXPECT_EQ(c.rollout_share, 0.25);
    EXPECT_TRUE(c.replication.enabled);
    EXPECT_FALSE(c.replication.version_agreement);
    EXPECT_EQ(c.replication.probe_period, 900);
    EXPECT_EQ(c.replication.gossip_period, 90);
    EXPECT_EQ(c.replication.sync_period, 1900);
    EXPECT_TRUE(c.joins_replication());
}

TEST(RecordedConfiguration, HasTheKnownList) {
    const EndpointList list = recorded_config().known_endpoints.value();
    EXPECT_EQ(list.seq, 41u);
    EXPECT_TRUE(list.complete);
    ASSERT_EQ(list.endpoints.size(), 3u);
    EXPECT_EQ(list.endpoints[0].name, "s1");
    EXPECT_EQ(text_of(list.endpoints[0].address), "127.0.1.1:9001");
    EXPECT_EQ(list.endpoints[0].zone, "a");
    EXPECT_EQ(list.endpoints[0].cell, 2u);
    EXPECT_EQ(list.endpoints[0].state, EndpointState::serving);
    EXPECT_EQ(list.endpoints[0].started_at, 1700000000000.0);
    EXPECT_EQ(list.endpoints[0].capacity_weight, 1.5);
    EXPECT_EQ(text_of(list.endpoints[1].address), "[::1]:9002");
    EXPECT_EQ(list.endpoints[1].state, EndpointState::draining);
    EXPECT_EQ(list.endpoints[2].name, "s3");
    EXPECT_EQ(list.endpoints[2].state, EndpointState::removed);
    EXPECT_EQ(list.endpoints[2].capacity_weight, 1);
}

TEST(RecordedConfiguration, HasTheClasses) {
    const Config c = recorded_config();
    EXPECT_EQ(c.classes, (std::vector<std::string>{"listen", "deposit", "annotate"}));
    EXPECT_EQ(c.longest_deadline, 3000) << "the default of the class that has no deadline";
    const auto& classes = c.settings.classes;
    ASSERT_EQ(classes.size(), 3u);
    const auto expect = [&](std::size_t i, Idempotency effect, DedupScope scope, Millis window,
                            Millis objective, double objective_per_effort, double worth) {
        EXPECT_EQ(classes[i].idempotency, effect) << i;
        EXPECT_EQ(classes[i].dedup_scope, scope) << i;
        EXPECT_EQ(classes[i].dedup_window, window) << i;
        EXPECT_EQ(classes[i].latency_objective, objective) << i;
        EXPECT_EQ(classes[i].objective_per_effort, objective_per_effort) << i;
        EXPECT_EQ(classes[i].priority_weight, worth) << i;
    };
    expect(0, Idempotency::idempotent, DedupScope::all, 1000, 400, 1.25, 1);
    expect(1, Idempotency::not_idempotent, DedupScope::zone, 2000, 300, 0.5, 3);
    expect(2, Idempotency::idempotent_with_key, DedupScope::cell, 5000, 200, 0, 2);
}

TEST(RecordedConfiguration, HasTheOtherSettings) {
    const Config c = recorded_config();
    const Settings& s = c.settings;
    EXPECT_EQ(c.local_zone, "b");
    EXPECT_EQ(s.local_zone, std::nullopt) << "the zone has no id yet";
    EXPECT_TRUE(s.polled_discovery);
    EXPECT_EQ(s.sidecar_count, 4u);
    EXPECT_EQ(s.sidecar_index, 3u);
    EXPECT_EQ(s.max_attempts, 5u);
    EXPECT_TRUE(s.hedging_allowed);
    EXPECT_TRUE(s.cancel_allowed);
    EXPECT_TRUE(s.probes_allowed);
    EXPECT_TRUE(s.gossip_allowed);
    EXPECT_EQ(c.connect_timeout, 750);
    EXPECT_EQ(c.idle_timeout, 12000);
    EXPECT_EQ(c.max_retry_after, 800);
    EXPECT_EQ(s.poll_interval, 650);
    EXPECT_EQ(s.slow_start_least_share, 0.16);
    EXPECT_EQ(s.slow_start_overload_factor, 2.5);
    EXPECT_EQ(s.slow_start_duration, 20000);
    EXPECT_EQ(s.fees.cross_zone, 0.02);
    EXPECT_EQ(s.fees.probe, 0.001);
}

TEST(RecordedConfiguration, HasTheRecordedDocumentAndHash) {
    const Config c = recorded_config();
    EXPECT_EQ(c.document, in_current_format(recorded::read("config-document.json")));
    recorded::expect_same("config-settings-hash.txt", std::to_string(c.settings_hash) + "\n");
    recorded::expect_same("config-in-rollout.txt", c.in_rollout() ? "yes\n" : "no\n");
}

// ---- The state folder -------------------------------------------------------------------------------------

const Timestamps kWrittenAt{1.7e12 + 0.25, 5e6 + 0.5, "boot-a"};
constexpr Millis kLater = 3000;
const std::string kDiscovery = "127.0.0.2:8500";

json config_one() { return a_config(kDiscovery, {host("s1", "127.0.0.1:2")}); }
json config_two() {
    json j = config_one();
    j["settings"]["limits"]["max-attempts"] = 2;
    j["ochregrade"] = {{"epoch", 4}, {"trial", {{"bake_ms", 1000}}}};
    return j;
}
json config_on_trial() {
    json j = config_two();
    j["settings"]["limits"]["max-attempts"] = 4;
    return j;
}
std::string document_of(const json& j) { return read_config(j).document; }

ConfigSnapshotPtr snapshot(std::uint64_t generation, const json& config) {
    auto s = std::make_shared<ConfigSnapshot>();
    s->version = generation;
    s->config = read_config(config);
    return s;
}

// A folder with the process id in its name; deleted by the destructor.
class TemporaryFolder {
public:
    TemporaryFolder()
        : path(fs::path(testing::TempDir()) / ("recorded-state-" + std::to_string(::getpid()))) {
        fs::remove_all(path);
        fs::create_directories(path);
    }
    ~TemporaryFolder() { fs::remove_all(path); }
    const fs::path path;
};

std::unique_ptr<StateStore> open_store(const fs::path& path, const Timestamps& now) {
    storage::OpenedDirectory opened = storage::open_directory(path.string());
    EXPECT_TRUE(opened.directory) << path << " error " << opened.error;
    return std::make_unique<StateStore>(std::move(opened.directory), [now] { return now; });
}

// Waits until the submitted record is on the disk, so that the records get the same sequence in every run.
void wait_until_written(StateStore& store) {
    while (!store.settled()) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(store.counts().failed, 0u);
}

void write_state(const fs::path& path) {
    const auto store = open_store(path, kWrittenAt);
    store->recover();
    ConfigVersions generations;
    generations.commit(snapshot(1, config_one()), ConfigVersions::Source::start, 0, {}, 1000.5);
    generations.commit(snapshot(2, config_two()), ConfigVersions::Source::operators, 0, {}, 2000.25);
    generations.commit(snapshot(3, config_on_trial()), ConfigVersions::Source::operators, 0, {1000, 0.05, 10},
                       3000);
    store->save_config(generations, document_of(config_one())), wait_until_written(*store);
    const json list = {{"seq", 77},
                       {"whole", true},
                       {"hosts", {host("s1", "127.0.0.1:5"), host("s2", "[::1]:6", "DRAINING")}}};
    store->save_endpoints(parse_endpoint_list(list), kDiscovery,
                          {{"s1", 0, 8000.5, 0.375}, {"s2", 0, 0, 0.25}});
    wait_until_written(*store);
    store->confirm_stable_uptime(), wait_until_written(*store);
}

std::map<std::string, std::string> files_of(const fs::path& path) {
    std::map<std::string, std::string> files;
    for (const auto& entry : fs::directory_iterator(path)) {
        std::ifstream file(entry.path(), std::ios::binary);
        files[entry.path().filename().string()] = {std::istreambuf_iterator<char>(file),
                                                   std::istreambuf_iterator<char>()};
    }
    return files;
}

// Encodes the record with its configurations as this version writes them. Records without configurations are
// encoded unchanged.
std::string in_current_format(const storage::Record& record) {
    if (record.kind != "config") return storage::encode(record);
    json payload = json::parse(record.payload);
    for (const char* field : {"good", "file"})
        payload[field] = in_current_format(payload.at(field).get<std::string>());
    for (json& version : payload.at("kept"))
        version["config"] = in_current_format(version.at("config").get<std::string>());
    return storage::encode({record.kind, record.sequence, payload.dump()});
}

TEST(RecordedState, IsWrittenWithTheSameFileNamesAndBytes) {
    TemporaryFolder folder;
    write_state(folder.path);
    const auto written = files_of(folder.path);
    const auto before = files_of(recorded::path_of("state"));
    EXPECT_EQ(before.size(), 4u) << "a config record, a world record and two starts records";
    ASSERT_EQ(written.size(), before.size());
    for (const auto& [name, bytes] : before) {
        const storage::Decoded decoded = storage::decode(bytes);
        ASSERT_EQ(decoded.error, storage::DecodeError::none) << name;
        EXPECT_EQ(storage::encode(decoded.record), bytes) << name;
        EXPECT_EQ(written.at(name), in_current_format(decoded.record)) << name;
    }
}

// Recovers the state from a copy of the recorded folder, because the recovery writes to the folder.
struct RecordedStateRecovered : testing::Test {
    RecordedStateRecovered() {
        fs::copy(recorded::path_of("state"), folder.path, fs::copy_options::recursive);
        store = open_store(folder.path, {kWrittenAt.wall + kLater, kWrittenAt.uptime + kLater, "boot-a"});
        recovered = store->recover();
    }
    TemporaryFolder folder;
    std::unique_ptr<StateStore> store;
    RecoveredState recovered;
};

TEST_F(RecordedStateRecovered, HasTheLastKnownGoodConfiguration) {
    ASSERT_TRUE(recovered.last_known_good);
    EXPECT_EQ(recovered.last_known_good->dump(), document_of(config_two()));
    EXPECT_EQ(recovered.file, document_of(config_one()));
    EXPECT_EQ(recovered.next_version, 4u);
    EXPECT_TRUE(recovered.canary_interrupted);
    EXPECT_FALSE(recovered.crash_loop);
    ASSERT_EQ(recovered.versions.size(), 2u);
    EXPECT_EQ(recovered.versions[0].number(), 1u);
    EXPECT_EQ(recovered.versions[0].content_version, 1u);
    EXPECT_EQ(recovered.versions[0].committed_at, 1000.5);
    EXPECT_EQ(recovered.versions[0].snapshot->config.document, document_of(config_one()));
    EXPECT_EQ(recovered.versions[1].number(), 2u);
    EXPECT_EQ(recovered.versions[1].content_version, 2u);
    EXPECT_EQ(recovered.versions[1].committed_at, 2000.25);
    EXPECT_EQ(recovered.versions[1].snapshot->config.document, document_of(config_two()));
    for (const auto& entry : recovered.versions) {
        EXPECT_EQ(entry.source, ConfigVersions::Source::recovery);
        EXPECT_EQ(entry.state, ConfigVersions::State::good);
        EXPECT_EQ(entry.note, "from an earlier life");
    }
}

TEST_F(RecordedStateRecovered, HasTheEndpointListAndAgedSnapshots) {
    ASSERT_TRUE(recovered.endpoints);
    EXPECT_EQ(recovered.discovery, kDiscovery);
    EXPECT_EQ(recovered.endpoints->seq, 77u);
    EXPECT_TRUE(recovered.endpoints->complete);
    ASSERT_EQ(recovered.endpoints->endpoints.size(), 2u);
    const ListedEndpoint &first = recovered.endpoints->endpoints[0],
                         &second = recovered.endpoints->endpoints[1];
    EXPECT_EQ(first.name, "s1");
    EXPECT_EQ(text_of(first.address), "127.0.0.1:5");
    EXPECT_EQ(first.zone, "a");
    EXPECT_EQ(first.cell, 0u);
    EXPECT_EQ(first.state, EndpointState::serving);
    EXPECT_EQ(first.started_at, 0);
    EXPECT_EQ(first.capacity_weight, 1);
    EXPECT_EQ(second.name, "s2");
    EXPECT_EQ(text_of(second.address), "[::1]:6");
    EXPECT_EQ(second.state, EndpointState::draining);
    ASSERT_EQ(recovered.snapshots.size(), 2u);
    EXPECT_EQ(recovered.snapshots[0].name, "s1");
    EXPECT_EQ(recovered.snapshots[0].started_at, 0);
    EXPECT_EQ(recovered.snapshots[0].ejected_for, 8000.5 - kLater);
    EXPECT_EQ(recovered.snapshots[0].latency_ratio, 0.375);
    EXPECT_EQ(recovered.snapshots[1].name, "s2");
    EXPECT_EQ(recovered.snapshots[1].latency_ratio, 0.25);
}

// The recovery quarantines none of the recorded files, and adds a record that counts the new run.
TEST_F(RecordedStateRecovered, LeavesTheRecordedFilesAndCountsTheRun) {
    store.reset();
    auto after = files_of(folder.path);
    for (const auto& [name, bytes] : files_of(recorded::path_of("state")))
        EXPECT_EQ(after[name], bytes) << name;
    ASSERT_EQ(after.size(), 5u);
    const storage::OpenedDirectory opened = storage::open_directory(folder.path.string());
    storage::RecordStore records(*opened.directory, [](const std::string&) {});
    const auto counted = records.load("starts", [](const storage::Record&) { return std::string(); });
    ASSERT_TRUE(counted);
    EXPECT_EQ(counted->payload, R"({"starts":1})");
    EXPECT_EQ(counted->sequence, 5u);
}

}  // namespace
}  // namespace ochregrade::sidecar
