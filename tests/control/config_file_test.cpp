// Tests of the configuration file: reading while the file is replaced, environment variables that override
// fields, and the former name of the program's own section.
#include <atomic>
#include <thread>

#include "control/config_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

// The configuration with the program's own section under the name that it had before version 0.2.
json under_former_name(json config) {
    config[kFormerSection] = config[kOwnSection];
    config.erase(kOwnSection);
    return config;
}

TEST(FormerSection, IsReadAsPresentSection) {
    const std::string text = under_former_name(full_config()).dump();
    const Config config = read_config(parse_config(text, "the file"));
    EXPECT_EQ(config.canary.duration, 5000);
    EXPECT_EQ(config.document, read_config(full_config()).document);
}

TEST(FormerSection, TogetherWithPresentSectionIsAnError) {
    json config = full_config();
    config[kFormerSection] = config[kOwnSection];
    EXPECT_EQ(errors_of([&] { parse_config(config.dump(), "the file"); }),
              std::vector<std::string>{"the file has both ochregrade and cobaltshift, its former name"});
}

TEST(ConfigurationFile, ReadDuringReplacementReturnsEitherText) {
    json config = full_config();
    const std::string one = config.dump();
    config["name"] = std::string(50000, 'n');
    const std::string other = config.dump();
    ConfigFile file(one);
    std::atomic<bool> stop{false};
    std::thread writer([&] {
        for (int i = 0; !stop; ++i) file.replace(i % 2 ? one : other);
    });
    int wrong = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string text = read_config_file();
        wrong += text != one && text != other;
    }
    stop = true;
    writer.join();
    EXPECT_EQ(wrong, 0);
}

TEST(ConfigurationFile, VariablesOverrideTheFileExceptDiscoveryOnReload) {
    json config = full_config();
    ConfigFile file(config.dump());
    ::setenv("NODE_NAME", "n9", 1);
    ::setenv("NODE_DISCOVERY", "127.0.0.1:77", 1);
    const Config running = read_config(start_document());
    EXPECT_EQ(running.name, "n9");
    EXPECT_EQ(running.discovery_address.port(), 77);
    EXPECT_EQ(read_candidate(reload_document(), running, false).discovery_address.port(), 1);
    config["name"] = "n10";
    file.write(config.dump());
    EXPECT_EQ(read_candidate(reload_document(), running, false).name, "n9") << "NODE_NAME still overrides it";
    ::unsetenv("NODE_NAME");
    ::unsetenv("NODE_DISCOVERY");
    EXPECT_EQ(errors_of([&] { read_candidate(reload_document(), running, false); }),
              (std::vector<std::string>{"name can't change while the program runs"}));
}

}  // namespace
}  // namespace ochregrade::sidecar
