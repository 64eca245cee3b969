// Pipelined requests: their order, and their deadlines while an earlier request is being served.
#include "proxy/pipelined_requests.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

// Responses are sent in order, so a request that gets no response from its endpoint delays the requests that
// are pipelined behind it. Their responses are due 0.5 s after their own deadlines, so the first request is
// failed before its deadline.
TEST(PipelinedRequests, RequestEndsBeforeResponsesBehindItAreDue) {
    constexpr double kDeadlineBehind = 0.3, kGrace = 0.5, kSlack = 0.2;  // seconds
    std::promise<void> release;
    auto released = release.get_future().share();
    FakeServer unresponsive([&](Wire&, const HttpRequest&, int) { return released.wait(), false; });
    Running sidecar(a_config(kNoAddress, {host("s1", unresponsive.at())}));
    App app(sidecar.at);
    const auto start = std::chrono::steady_clock::now();
    app.wire.write(App::request("deposit", "5000m") + App::request("listen", "300m"));
    EXPECT_EQ(app.answer().result_int(), 502u);
    EXPECT_EQ(app.answer().result_int(), 503u);
    EXPECT_LT(std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count(),
              kDeadlineBehind + kGrace + kSlack);
    release.set_value();
}

TEST(PipelinedRequests, RequestKeepsItsDeadlineIfThoseBehindItHaveTime) {
    FakeServer slow([](Wire& w, const HttpRequest&, int number) {
        if (number == 0) std::this_thread::sleep_for(std::chrono::milliseconds(700));
        return w.respond(200, "fine"), true;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", slow.at())}));
    App app(sidecar.at);
    app.wire.write(App::request("deposit", "5000m") + App::request("listen", "5000m"));
    EXPECT_EQ(app.answer().result_int(), 200u);
    app.wire.write(App::request("listen", "300m"));  // pipelined behind a request that is served quickly
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(app.answer().result_int(), 200u);
}

TEST(PipelinedRequests, DeadlinesAreThoseOfCompleteRequests) {
    const std::string first = App::request("deposit", "500m", "body"),
                      second = App::request("listen", "250u");
    const std::string health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string all = first + health + second;
    for (std::size_t size = 0; size <= all.size(); ++size) {
        const std::vector<Millis> times = times_left_of_complete_requests(asio::buffer(all.data(), size));
        const std::size_t complete =
            (size >= first.size()) + (size >= first.size() + health.size()) + (size == all.size());
        ASSERT_EQ(times.size(), complete) << size;
        if (complete > 0) {
            EXPECT_EQ(times[0], 500);
        }
        if (complete > 1) {
            EXPECT_EQ(times[1], std::numeric_limits<Millis>::infinity());
        }
        if (complete > 2) {
            EXPECT_EQ(times[2], 0.25);
        }
    }
}

TEST(PipelinedRequests, AreServedInOrder) {
    FakeServer server;
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.at);
    app.wire.write(App::request("listen") + App::request("deposit", "25000m", "x"));
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(server.seen().size(), 2u);
}

}  // namespace
}  // namespace ochregrade::sidecar
