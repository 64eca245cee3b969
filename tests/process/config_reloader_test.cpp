// Tests of reloading the configuration file, as SIGHUP causes it.
#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(Reload, AppliesTheWholeFileAndMergesRepeatedSignals) {
    FakeServer server;
    json config = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    for (auto& c : config["settings"]["classes"])
        if (c["name"] == "listen") c["name"] = "hear";
    config["settings"]["platform-says-more"] = 1;
    file.replace(config.dump());
    sidecar.in_loop([&] {
        for (int i = 0; i < 10; ++i) sidecar.node().reload();
        return 0;
    });
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("applied") == 1; }));
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    const json changes = ops.get("/v1/status").at("changes");
    EXPECT_EQ(changes.at("applied"), 1) << changes;
    EXPECT_EQ(changes.at("unchanged"), 0) << "repeated signals cause one reload";
    sidecar.reload();
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("unchanged") == 1; }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 2) << "the same content is no new generation";
}

// The signal arrives while the file is only partly written, and no second signal follows when the file is
// complete. The complete file must still be applied.
TEST(Reload, AFileThatIsBeingWrittenIsReadAgain) {
    json config = with_admin(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    config["settings"]["limits"]["connect-timeout-ms"] = 19000;
    const std::string text = config.dump();
    file.replace(text.substr(0, text.size() / 2));
    sidecar.reload();
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("refused") == 1; }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
    file.replace(text);
    ASSERT_TRUE(until([&] { return ops.get("/v1/status").at("changes").at("applied") == 1; }));
    EXPECT_EQ(ops.get("/v1/status").at("changes").at("refused"), 1);
}

}  // namespace
}  // namespace ochregrade::sidecar
