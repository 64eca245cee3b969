// Tests which configuration and which endpoint list a process starts with.
#include "state_directory.hpp"

namespace ochregrade::sidecar {
namespace {

RecoveredState recovered_from(const json& good, const json& file) {
    RecoveredState recovered;
    recovered.last_known_good = json::parse(document_of(good));
    recovered.file = document_of(file);
    recovered.next_version = 5;
    return recovered;
}

TEST(StartupConfig, AChangedFileIsUsed) {
    const Start start = decide_start(changed_config(), recovered_from(base_config(), base_config()));
    EXPECT_EQ(start.config.document, document_of(changed_config()));
    EXPECT_EQ(start.source, ConfigVersions::Source::start);
}

TEST(StartupConfig, OperatorChangesAreKeptWhileTheFileIsUnchanged) {
    json file = base_config();
    file["seed"] = "77";
    file["ochregrade"]["state"]["lived_ms"] = 5;
    const Start start = decide_start(file, recovered_from(changed_config(), file));
    EXPECT_EQ(start.config.settings.max_attempts, 2u);
    EXPECT_EQ(start.source, ConfigVersions::Source::recovery);
    EXPECT_EQ(start.config.seed, 0x77u) << "start-only fields have the file's values";
    EXPECT_EQ(start.config.known_endpoints->endpoints.size(), 1u);
    EXPECT_EQ(start.config.stable_uptime, 5);
    EXPECT_EQ(start.file_document, document_of(file));
}

TEST(StartupConfig, OperatorChangesUnderTheFormerSectionNameAreKept) {
    StateDirectory state;
    json file = base_config();
    file[kOwnSection]["trial"] = {{"bake_ms", 5000}};
    const auto in_former_format = [](const json& config) {
        json written = json::parse(document_of(config));
        written[kFormerSection] = written[kOwnSection];
        written.erase(kOwnSection);
        return written.dump();
    };
    json good = changed_config();
    good[kOwnSection] = file[kOwnSection];
    const json record = {{"good", in_former_format(good)},
                         {"file", in_former_format(file)},
                         {"next", 5},
                         {"on_trial", false},
                         {"kept", json::array()}};
    storage::RecordStore(*state.folder, [](const std::string&) {}).save("config", record.dump());
    const Start start = decide_start(file, state.recover());
    EXPECT_EQ(start.source, ConfigVersions::Source::recovery);
    EXPECT_EQ(start.config.settings.max_attempts, 2u);
}

TEST(StartupConfig, TheLastKnownGoodIsUsedWhereTheFileIsInvalid) {
    const Start start = decide_start(std::nullopt, recovered_from(changed_config(), base_config()));
    EXPECT_EQ(start.config.document, document_of(changed_config()));
    EXPECT_EQ(start.source, ConfigVersions::Source::recovery);
    EXPECT_EQ(start.file_document, "") << "the next valid file must count as changed";
}

TEST(StartupConfig, TheNewerEndpointListOfTheSameDiscoveryIsUsed) {
    const auto start = [](std::uint64_t stored_seq, const std::string& discovery, bool known) {
        RecoveredState recovered;
        recovered.endpoints = two_endpoints();
        recovered.endpoints->seq = stored_seq;
        recovered.discovery = discovery;
        json file = base_config();  // its list has sequence number 5
        if (!known) file.erase("known");
        return decide_start(file, recovered).endpoints_restored;
    };
    EXPECT_TRUE(start(6, "127.0.0.1:1", true));
    EXPECT_FALSE(start(5, "127.0.0.1:1", true));
    EXPECT_FALSE(start(6, "127.0.0.1:9", true)) << "another discovery has a different sequence";
    EXPECT_TRUE(start(1, "127.0.0.1:9", false)) << "the file has no list";
}

}  // namespace
}  // namespace ochregrade::sidecar
