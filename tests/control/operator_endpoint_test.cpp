// Tests of the operators' endpoint: responses to valid and invalid requests, and the metrics.
#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(OperatorEndpoint, IsOffByDefault) {
    Running sidecar(a_config(kUnusedAddress, {}));
    EXPECT_FALSE(sidecar.in_loop([&] { return sidecar.node().admin_endpoint().has_value(); }));
}

TEST(OperatorEndpoint, InvalidRequestsGetAnErrorStatus) {
    const json config = with_admin(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    Running sidecar(config);
    const auto status = [&](const std::string& method, const std::string& target,
                            const std::string& body = "") {
        Operator ops(sidecar.admin);
        return ops.call(method, target, body).result_int();
    };
    EXPECT_EQ(status("GET", "/"), 404u);
    EXPECT_EQ(status("DELETE", "/v1/config"), 405u);
    EXPECT_EQ(status("GET", "/v1/config/rollback"), 405u);
    EXPECT_EQ(status("POST", "/metrics"), 405u);
    EXPECT_EQ(status("POST", "/v1/config", "{"), 400u);
    EXPECT_EQ(status("POST", "/v1/config", "[]"), 422u);
    EXPECT_EQ(status("POST", "/v1/config?dryrun=1", config.dump()), 400u)
        << "a mistyped parameter must not apply the change";
    EXPECT_EQ(status("POST", "/v1/config?dry_run=yes", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?dry_run=1&dry_run=0", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?expected_generation=-1", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?margin=0.5", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?bake_ms=5&margin=7", config.dump()), 400u);
    EXPECT_EQ(status("POST", "/v1/config?expected_generation=5", config.dump()), 409u);
    EXPECT_EQ(status("GET", "/v1/config?generation=7"), 404u);
    EXPECT_EQ(status("POST", "/v1/config", std::string(2 << 20, ' ')), 413u);
    Operator ops(sidecar.admin);
    EXPECT_EQ(ops.raw("GET /v1/status HTTP/1.1\r\nHost: evil.example\r\n\r\n").result_int(), 403u);
    EXPECT_EQ(
        ops.raw("GET /v1/status HTTP/1.1\r\nHost: localhost:1\r\nOrigin: http://x\r\n\r\n").result_int(),
        403u);
    EXPECT_EQ(ops.raw("GET /v1/status HTTP/1.1\r\nHost: [::1]:1\r\n\r\n").result_int(), 200u);
    EXPECT_EQ(Operator(sidecar.admin).raw("nonsense\r\n\r\n").result_int(), 400u);
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
}

TEST(OperatorEndpoint, DryRunReportsChangesWithoutApplyingThem) {
    json config = with_admin(a_config(kUnusedAddress, {host("s1", kUnusedAddress)}));
    Running sidecar(config);
    Operator ops(sidecar.admin);
    const json before = ops.get("/v1/status");
    config["settings"]["limits"]["max-attempts"] = 2;
    const json response = ops.post("/v1/config?dry_run=1", config);
    EXPECT_EQ(response.at("result"), "sound");
    EXPECT_EQ(response.at("changes"), json::array({"replace /settings/limits/max-attempts"}));
    EXPECT_EQ(ops.get("/v1/status").at("generation"), before.at("generation"));
    config["limits"]["sockets"] = 1u << 30;
    EXPECT_EQ(ops.post("/v1/config?dry_run=1", config, 422).at("complaints").at(0).at("field"),
              "limits.sockets");
    EXPECT_EQ(ops.get("/v1/status").at("changes").at("refused"), 0);
}

TEST(OperatorEndpoint, AcceptsTheConfigurationThatItReturned) {
    Running sidecar(with_admin(a_config(kUnusedAddress, {host("s1", kUnusedAddress)})));
    Operator ops(sidecar.admin);
    json config = ops.get("/v1/config").at("config");
    EXPECT_EQ(ops.post("/v1/config", config).at("result"), "unchanged");
    config["settings"]["limits"]["max-attempts"] = 2;
    EXPECT_EQ(ops.post("/v1/config", config).at("result"), "applied");
}

// In the Prometheus text format each family starts with a HELP and a TYPE line. A sample is a line of the
// form "name{labels} value".
TEST(OperatorEndpoint, MetricsAreInThePrometheusTextFormat) {
    FakeServer server;
    Running sidecar(with_admin(a_config(kUnusedAddress, {host("s1", server.at())})));
    for (int i = 0; i < 3; ++i) ASSERT_EQ(ask(sidecar.at, "listen"), 200u);
    Operator ops(sidecar.admin);
    const HttpResponse r = ops.call("GET", "/metrics");
    EXPECT_EQ(r[http::field::content_type], "text/plain; version=0.0.4");
    std::istringstream lines(r.body());
    std::string family;
    std::map<std::string, double> values;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("# HELP ", 0) == 0) {
            family = line.substr(7, line.find(' ', 7) - 7);
            ASSERT_TRUE(std::getline(lines, line));
            EXPECT_EQ(line.rfind("# TYPE " + family + " ", 0), 0u) << line;
            continue;
        }
        const auto space = line.rfind(' ');
        const std::string name = line.substr(0, space);
        EXPECT_EQ(name.substr(0, name.find('{')), family) << line;
        EXPECT_EQ(values.count(name), 0u) << line;
        values[name] = std::stod(line.substr(space + 1));
    }
    EXPECT_EQ(values.at("ochregrade_answers_total{result=\"served\"}"), 3);
    EXPECT_EQ(values.at("ochregrade_config_generation"), 1);
    EXPECT_EQ(values.at("ochregrade_servers"), 1);
}

TEST(OperatorEndpoint, ServesDespiteRandomBytesAndSilentConnections) {
    Running sidecar(with_admin(a_config(kUnusedAddress, {host("s1", kUnusedAddress)})));
    std::vector<std::unique_ptr<App>> silent;
    silent.reserve(30);
    for (int i = 0; i < 30; ++i) silent.push_back(std::make_unique<App>(sidecar.admin));
    std::uint64_t state = 11;
    for (int i = 0; i < 200; ++i) {
        std::string noise = i % 2 ? "POST /v1/config HTTP/1.1\r\nHost: localhost\r\n" : "";
        for (int n = 0; n < 60; ++n) {
            state = state * 6364136223846793005u + 1442695040888963407u;
            noise += static_cast<char>(state >> 56);
        }
        App app(sidecar.admin);
        app.wire.write(noise + "\r\n\r\n");
    }
    Operator ops(sidecar.admin);
    EXPECT_EQ(ops.get("/v1/status").at("name"), "n0");
    EXPECT_EQ(ops.get("/v1/config").at("generation"), 1);
}

}  // namespace
}  // namespace ochregrade::sidecar
