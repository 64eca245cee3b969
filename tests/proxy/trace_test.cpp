// The trace of one request, and the metrics that count by reason.
#include <future>

#include "support/process_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

std::vector<json> trace_of(const std::string& path, const std::string& id) {
    std::vector<json> events;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        json event = json::parse(line);
        if (event.value("id", "") == id) events.push_back(std::move(event));
    }
    return events;
}

TEST(Trace, RecordsStateChangesAndMetricsCountReasons) {
    Fixture f;
    const std::string trace = f.place.path + "/trace";
    FakeServer failing([](Wire& w, const HttpRequest&, int) { return w.respond(500), true; });
    SteadyDiscovery discovery(std::vector<json>{host("s1", failing.at())});
    f.config["discovery"] = discovery.at();
    f.place.write(f.config.dump());
    const auto process = f.start({"OCHREGRADE_TRACE=" + trace});
    App app(f.listen);
    const std::string text = App::request("listen");
    const auto at = text.find("X-Correlation-Id: ") + 18;
    const std::string id = text.substr(at, text.find('\r', at) - at);
    EXPECT_EQ(app.ask(text).result_int(), 503u);

    std::vector<std::string> names;
    for (const json& event : trace_of(trace, id)) names.push_back(event.at("event"));
    const std::vector<std::string> expected = {"arrived",       "send",          "attempt_ended",
                                               "send",          "attempt_ended", "send",
                                               "attempt_ended", "refused",       "answered"};
    EXPECT_EQ(names, expected);
    EXPECT_EQ(trace_of(trace, id).at(3).at("after"), "error");

    const std::string metrics = Operator(f.admin).call("GET", "/metrics").body();
    for (const char* line : {R"(ochregrade_retries_total{after="error"} 2)"
                             "\n",
                             R"(ochregrade_refusals_total{reason="attempts_used"} 1)"
                             "\n",
                             R"(ochregrade_rule_violations_total{rule="repeat"} 0)"
                             "\n",
                             R"(ochregrade_sends_withheld_total{reason="client_left"} 0)"
                             "\n",
                             R"(ochregrade_closes_total{side="clients",reason="peer_closed"})"})
        EXPECT_NE(metrics.find(line), std::string::npos) << line << metrics;
}

TEST(Trace, RecordsReusedConnectionsAndUnexpectedData) {
    Fixture f;
    const std::string trace = f.place.path + "/trace";
    std::promise<void> release;
    FakeServer server([&](Wire& w, const HttpRequest&, int number) {
        w.respond(200, "fine");
        if (number == 0) return true;
        release.get_future().wait();
        w.respond(200, "no request asked for this");
        return true;
    });
    SteadyDiscovery discovery(std::vector<json>{host("s1", server.at())});
    f.config["discovery"] = discovery.at();
    f.place.write(f.config.dump());
    const auto process = f.start({"OCHREGRADE_TRACE=" + trace});
    App app(f.listen);
    for (int i = 0; i < 2; ++i) {
        EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));  // over the quiet period of 25 ms
    }
    release.set_value();
    const std::string closed = R"(ochregrade_closes_total{side="servers",reason="unexpected_data"} 1)";
    EXPECT_TRUE(until(
        [&] { return Operator(f.admin).call("GET", "/metrics").body().find(closed) != std::string::npos; }));
    std::vector<json> events;
    std::ifstream file(trace);
    for (std::string line; std::getline(file, line);) {
        json event = json::parse(line);
        if (event.contains("port")) events.push_back(std::move(event));
    }
    ASSERT_EQ(events.size(), 2u);
    EXPECT_EQ(events[0].at("event"), "upstream_reused");
    EXPECT_GT(events[0].at("idle_ms"), 25);
    EXPECT_FALSE(events[0].at("request").get<std::string>().empty());
    EXPECT_EQ(events[1].at("event"), "upstream_idle_closed");
    EXPECT_EQ(events[1].at("reason"), "unexpected_data");
    EXPECT_EQ(events[1].at("port"), events[0].at("port"));
}

}  // namespace
}  // namespace ochregrade::sidecar
