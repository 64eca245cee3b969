// Tests of the canary of a new configuration in a running sidecar that serves requests.
#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(CanaryWatch, RollsBackAVersionThatRejectsRequests) {
    FakeServer server;
    const json config = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    for (int i = 0; i < 30; ++i) ASSERT_EQ(ask(sidecar.at, "listen"), 200u);
    const json response =
        ops.post("/v1/config?bake_ms=60000&margin=0.1&min_samples=10", without_class(config, "listen"));
    EXPECT_EQ(response.at("trial").at("falls_back_to"), 1);
    // Requests of a class that is unknown under both versions do not count against the canary.
    for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(sidecar.at, "nothing"), 400u);
    EXPECT_EQ(ops.get("/v1/config").at("state"), "on trial");
    EXPECT_TRUE(until([&] { return ask(sidecar.at, "listen") == 200u; }));
    const json history = ops.get("/v1/config/history").at("generations");
    ASSERT_EQ(history.size(), 3u) << history;
    EXPECT_EQ(history[1].at("state"), "taken back");
    EXPECT_EQ(history[2].at("source"), "trial");
    EXPECT_EQ(history[2].at("content_of"), 1);
}

TEST(CanaryWatch, KeepsVersionThatServesTheSameShare) {
    FakeServer server;
    json config = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    for (auto& c : config["settings"]["classes"]) c["give-up-ms"] = 100;
    config["ochregrade"]["trial"] = {{"bake_ms", 1500}, {"min_samples", 10}};
    ConfigFile file(config.dump());
    Running sidecar(config);
    Operator ops(sidecar.admin);
    for (int i = 0; i < 20; ++i) ASSERT_EQ(ask(sidecar.at, "listen"), 200u);
    config["settings"]["limits"]["max-attempts"] = 2;
    file.replace(config.dump());
    sidecar.reload();
    ASSERT_TRUE(until([&] { return ops.get("/v1/config").at("generation") == 2; }));
    EXPECT_EQ(ops.get("/v1/config").at("state"), "on trial") << "the file contains a canary rule";
    EXPECT_TRUE(until([&] {
        EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
        return ops.get("/v1/config").at("state") == "good";
    }));
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 2);
}

}  // namespace
}  // namespace ochregrade::sidecar
