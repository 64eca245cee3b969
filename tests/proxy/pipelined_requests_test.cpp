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

// The deadlines are the same whether the bytes arrive one at a time or at once.
TEST(PipelinedRequests, DeadlinesAreThoseOfCompleteRequests) {
    const std::string first = App::request("deposit", "500m", "body"),
                      second = App::request("listen", "250u");
    const std::string health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string all = first + health + second;
    PipelinedRequests byte_by_byte;
    for (std::size_t size = 0; size <= all.size(); ++size) {
        PipelinedRequests at_once;
        at_once.update(asio::buffer(all.data(), size), 0);
        byte_by_byte.update(asio::buffer(all.data(), size), 0);
        const std::size_t complete =
            (size >= first.size()) + (size >= first.size() + health.size()) + (size == all.size());
        for (PipelinedRequests* requests : {&at_once, &byte_by_byte}) {
            ASSERT_EQ(requests->size(), complete) << size;
            EXPECT_EQ(requests->first_deadline(), complete == 0   ? std::optional<Millis>()
                                                  : complete == 3 ? 0.25
                                                                  : 500);
        }
    }
    byte_by_byte.remove_first();
    EXPECT_EQ(byte_by_byte.first_deadline(), 0.25);
    byte_by_byte.remove_first();
    EXPECT_EQ(byte_by_byte.first_deadline(), 0.25);
    byte_by_byte.remove_first();
    EXPECT_EQ(byte_by_byte.first_deadline(), std::nullopt);
}

// An endless deadline in front does not hide a later request's deadline, and the deadline that is left after
// the first requests have been served is that of the requests behind them.
TEST(PipelinedRequests, FirstDeadlineIsTheEarliestOfThoseLeft) {
    const std::string health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    std::string all = health;
    for (const char* time_left : {"300m", "900m", "100m", "100m", "700m"})
        all += App::request("listen", time_left);
    PipelinedRequests requests;
    requests.update(asio::buffer(all), 1000);
    for (const Millis earliest : {1100, 1100, 1100, 1100, 1100, 1700}) {
        EXPECT_EQ(requests.first_deadline(), earliest) << requests.size();
        requests.remove_first();
    }
    EXPECT_EQ(requests.size(), 0u);
}

// Guards against late answers to other clients: the heads of all waiting requests were parsed again for each
// byte that arrived behind them.
TEST(PipelinedRequests, EachHeadIsParsedOnce) {
    constexpr std::size_t kWaiting = 380;
    std::string all;
    std::vector<std::size_t> starts;
    for (std::size_t i = 0; i < kWaiting; ++i) {
        starts.push_back(all.size());
        all += App::request("listen");
    }
    const std::string last = App::request("listen");
    PipelinedRequests requests;
    for (const char byte : last) {
        all += byte;
        requests.update(asio::buffer(all), 0);
    }
    EXPECT_EQ(requests.size(), kWaiting + 1);
    EXPECT_EQ(requests.heads_parsed(), kWaiting + 1);
    // Requests that have been served take their part of the buffer with them.
    for (std::size_t served = 1; served < kWaiting; ++served) {
        requests.remove_first();
        requests.update(asio::buffer(all) + starts[served], 0);
    }
    EXPECT_EQ(requests.heads_parsed(), kWaiting + 1);
}

// What can't be parsed is not parsed again either.
TEST(PipelinedRequests, InvalidAndChunkedHeadsEndTheSearch) {
    for (const std::string& head :
         {std::string("G / HTTP/0.9\r\n\r\n"),
          std::string("POST /deposit HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")}) {
        std::string all = App::request("listen") + head;
        PipelinedRequests requests;
        for (int i = 0; i < 100; ++i) requests.update(asio::buffer(all += "x"), 0);
        EXPECT_EQ(requests.size(), 1u);
        EXPECT_EQ(requests.heads_parsed(), 2u);
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
