// Tests that change the configuration of a running sidecar through the operators' endpoint and the file:
// invalid candidates, rollbacks and epochs.
#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

// The state of a sidecar that is visible from outside. A rejected candidate must not change it.
std::string visible_state(Running& sidecar, Operator& ops) {
    std::string all = ops.get("/v1/config").dump() + ops.get("/v1/config/history").dump();
    for (const char* request_class : {"listen", "deposit", "annotate", "nothing"})
        (all += ' ') += std::to_string(ask(sidecar.at, request_class));
    const auto limits = sidecar.in_loop([&] {
        const Node& node = sidecar.node();
        return std::to_string(node.discovery().seq()) + "/" + std::to_string(node.usage().endpoints);
    });
    return all + " " + limits;
}

// A candidate with one value replaced, and with other changes that would be visible if the candidate were
// applied.
json damaged(const json& config, const char* pointer, const json& value) {
    json candidate = config;
    candidate["settings"]["classes"].erase(0);
    candidate["discovery"] = "127.0.0.1:2";
    candidate[json::json_pointer(pointer)] = value;
    return candidate;
}

struct InvalidCandidate {
    std::string field;  // path of the field that the first error must name
    json config;
};

std::vector<InvalidCandidate> invalid_candidates(const json& config) {
    const auto with = [&](const char* pointer, const json& value) { return damaged(config, pointer, value); };
    return {
        {"name", with("/name", "n7")},
        {"listen", with("/listen", "127.0.0.1:5")},
        {"ochregrade.admin.listen", with("/ochregrade/admin/listen", "127.0.0.1:5")},
        {"discovery", with("/discovery", "nowhere")},
        {"limits.sockets", with("/limits/sockets", 3)},
        {"limits.sockets", with("/limits/sockets", 1u << 30)},  // more than RLIMIT_NOFILE allows
        {"limits.memory_mb", with("/limits/memory_mb", -1)},
        {"peers[0]", with("/peers", json::array({"x"}))},
        {"ochregrade.trial.margin", with("/ochregrade/trial/margin", 2)},
        {"ochregrade.trial.min_samples", with("/ochregrade/trial/min_samples", 0)},
        {"settings.classes", with("/settings/classes", json::array())},
        {"settings.classes[0].effect", with("/settings/classes/0/effect", "twice")},
        {"settings.classes[1].on-time-ms", with("/settings/classes/1/on-time-ms", 0)},
        {"settings.classes[1].name", with("/settings/classes/1/name", "deposit")},
        {"settings.siblings", with("/settings/siblings", 0)},
        {"settings.limits.max-attempts", with("/settings/limits/max-attempts", 1e9)},
        {"settings.limits.idle-close-ms", with("/settings/limits/idle-close-ms", 1e300)},
        {"settings.rules.fall-multiple", with("/settings/rules", {{"fall-multiple", 0.5}})},
        {"settings.fees.probe", with("/settings/fees", {{"probe", -0.1}})},
    };
}

class InvalidCandidates : public testing::Test {
protected:
    InvalidCandidates() { discovery.wait_for(1); }
    std::string visible() { return visible_state(sidecar, operators); }
    // Replaces the file's text, reloads the file and waits until it is rejected.
    void reload(const std::string& text) {
        file.replace(text);
        sidecar.reload();
        ++rejected;
        ASSERT_TRUE(until([&] { return changes().at("refused") == rejected; }));
    }
    json changes() { return operators.get("/v1/status").at("changes"); }

    FakeServer server;
    FakeDiscovery discovery;
    json config = with_admin(a_config(discovery.at(), {host("s1", server.at())}));
    ConfigFile file{config.dump()};
    Running sidecar{config};
    Operator operators{sidecar.admin};
    std::uint64_t rejected = 0;
};

TEST_F(InvalidCandidates, LeaveTheRunningConfigurationUntouched) {
    const std::string before = visible();
    for (const auto& [field, candidate] : invalid_candidates(config)) {
        SCOPED_TRACE(field);
        const json answer = operators.post("/v1/config", candidate, 422);
        ++rejected;
        EXPECT_EQ(answer.at("complaints").at(0).at("field"), field) << answer.dump();
        ASSERT_NO_FATAL_FAILURE(reload(candidate.dump()));
        EXPECT_EQ(visible(), before);
    }
    for (const std::string& text : {config.dump().substr(0, 300), std::string(), std::string("[1,2]")}) {
        ASSERT_NO_FATAL_FAILURE(reload(text));
        EXPECT_EQ(visible(), before) << text;
    }
    json unknown = config;
    unknown["settings"]["clases"] = 1;
    EXPECT_EQ(operators.post("/v1/config", unknown, 422).at("complaints").at(0).at("field"),
              "settings.clases");
    EXPECT_EQ(discovery.wait_for(1).size(), 1u) << "the watch must not be restarted";
}

TEST(Rollback, RestoresBehaviourAndDocument) {
    FakeServer server;
    FakeDiscovery old, fresh;
    const json config = with_admin(a_config(old.at(), {host("s1", server.at())}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const json first = ops.get("/v1/config").at("config");
    old.wait_for(1);
    json next = without_class(config, "listen");
    next["discovery"] = fresh.at();
    EXPECT_EQ(ops.post("/v1/config?expected_generation=1", next).at("generation"), 2);
    fresh.wait_for(1);
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    EXPECT_EQ(ops.post("/v1/config/rollback?expected_generation=1", nullptr, 409).at("generation"), 2);
    EXPECT_EQ(ops.post("/v1/config/rollback").at("generation"), 3);
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    old.wait_for(2);  // the second call: discovery at the previous address is in use again
    EXPECT_EQ(ops.get("/v1/config").at("config"), first);
    EXPECT_EQ(ops.get("/v1/config").at("content_of"), 1);
    EXPECT_EQ(ops.post("/v1/config/rollback", nullptr, 409).at("result"), "conflict")
        << "there is no older version";
    EXPECT_EQ(ops.post("/v1/config/rollback?to=2").at("generation"), 4);
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    EXPECT_EQ(ops.post("/v1/config/rollback?to=99", nullptr, 404).at("result"), "missing");
    EXPECT_EQ(ops.get("/v1/config/history").at("generations").size(), 4u);
}

TEST(Epochs, IncreaseAndIdentifyTheSettings) {
    FakeServer server;
    FakeDiscovery discovery;
    json config = with_admin(a_config(discovery.at(), {host("s1", server.at())}));
    config["ochregrade"]["epoch"] = 3;
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const auto rejected = [&](const json& candidate) {
        const json response = ops.post("/v1/config", candidate, 422);
        return response.dump().find("ochregrade.epoch") != std::string::npos;
    };
    json next = without_class(config, "listen");
    EXPECT_TRUE(rejected(next)) << "the epoch in force has other settings";
    next["ochregrade"]["epoch"] = 2;
    EXPECT_TRUE(rejected(next)) << "the epoch must not decrease";
    next["ochregrade"].erase("epoch");
    EXPECT_TRUE(rejected(next)) << "away";
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    next["ochregrade"]["epoch"] = 4;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "applied");
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
    // A rollback increases the epoch by 1, here to 5. The next change therefore needs an epoch over 5.
    EXPECT_EQ(ops.post("/v1/config/rollback").at("result"), "applied");
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    EXPECT_EQ(sidecar.in_loop([&] { return sidecar.node().driver().snapshot()->epoch; }), 5u);
    EXPECT_TRUE(rejected(next));
    next["ochregrade"]["epoch"] = 6;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "applied");
}

TEST(Epochs, EpochOutsideRolloutShareIsStaged) {
    FakeServer server;
    FakeDiscovery discovery;
    json config = with_admin(a_config(discovery.at(), {host("s1", server.at())}));
    config["ochregrade"]["epoch"] = 1;
    Running sidecar(config);
    Operator ops(sidecar.admin);
    json next = without_class(config, "listen");
    next["ochregrade"]["epoch"] = 2;
    next["ochregrade"]["rollout"]["share"] = 0;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "staged");
    EXPECT_EQ(ask(sidecar.at, "listen"), 200u);
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
    next["ochregrade"]["rollout"]["share"] = 1;
    EXPECT_EQ(ops.post("/v1/config", next).at("result"), "applied");
    EXPECT_EQ(ask(sidecar.at, "listen"), 400u);
}

}  // namespace
}  // namespace ochregrade::sidecar
