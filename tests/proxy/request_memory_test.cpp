// Memory that clients and endpoints make the sidecar keep: it is bounded by what the data occupies, not by
// the bytes that arrive.
#include <list>

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

constexpr std::size_t kRequestMemory = 256 << 10;  // bytes

// `bytes` bytes of the smallest header fields.
std::string smallest_fields(std::size_t bytes) {
    std::string fields;
    while (fields.size() < bytes) fields += "a:\r\n";
    return fields;
}

// Guards against a sidecar that is killed for its memory: heads of very short fields, which occupy 20 times
// their bytes once they are parsed, were read up to 16 KiB on each connection.
TEST(RequestMemory, HeadOfShortFieldsIsRejectedBeforeItFillsMemory) {
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}));
    App app(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(app, "GET /listen HTTP/1.1\r\n" + smallest_fields(15000)).result_int(), 431u);
}

// The same for the trailer fields of a chunked request, which are parsed into the same list.
TEST(RequestMemory, TrailersOfShortFieldsAreRejected) {
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}));
    App app(sidecar.listener.endpoint());
    const std::string head = App::request("deposit", "25000m", "", "Transfer-Encoding: chunked\r\n");
    const auto length = head.find("Content-Length");
    const std::string chunked = head.substr(0, length) + "\r\n1\r\nx\r\n0\r\n";
    EXPECT_EQ(sidecar.ask(app, chunked + smallest_fields(15000) + "\r\n").result_int(), 431u);
}

// Guards against the same growth through an endpoint's response.
TEST(RequestMemory, ResponseOfShortFieldsIsAFailedAttempt) {
    FakeServer server([](Wire& wire, const HttpRequest&, int) {
        wire.respond(200, "fine", smallest_fields(15000));
        return true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(app, App::request("deposit")).result_int(), 502u);
}

// Guards against a sidecar that is killed for its memory: what clients had sent of a request counted towards
// no limit before its head was complete.
TEST(RequestMemory, UnfinishedHeadsShareTheMemoryAndSmallRequestsAreServedBeside) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}), {400, kRequestMemory});
    std::list<App> unfinished;
    for (int i = 0; i < 60; ++i) {
        unfinished.emplace_back(sidecar.listener.endpoint());
        unfinished.back().wire.write("GET /listen HTTP/1.1\r\nX-Long: " + std::string(15000, 'x') + "\r\n");
    }
    const auto rejected = [&] {
        return std::count_if(unfinished.begin(), unfinished.end(),
                             [](App& app) { return is_readable(app.wire); });
    };
    // Each of them occupies over 10 KiB beyond its free part, so most do not fit.
    ASSERT_TRUE(sidecar.until([&] { return rejected() >= 30; }));
    for (App& app : unfinished) {
        if (is_readable(app.wire)) {
            EXPECT_EQ(app.answer().result_int(), 503u);
        }
    }
    App small(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(small, App::request("listen")).result_int(), 200u);
}

// Guards against memory that grows by requests whose clients have left: it stays reserved while an attempt
// still holds the request.
TEST(RequestMemory, RequestInFlightStaysReservedAfterItsClientHasLeft) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["settings"]["limits"]["may-cancel"] = false;
    SteppedSidecar sidecar(config, {400, 90000});
    const std::string large = App::request("deposit", "25000m", std::string(60000, 'x'));
    auto left = std::make_unique<App>(sidecar.listener.endpoint());
    left->wire.write(large);
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
    left.reset();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
    App other(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(other, App::request("deposit", "25000m", std::string(60000, 'x'))).result_int(),
              503u);
    release.set_value();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.usage().attempts == 0; }));
    App again(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(again, App::request("deposit", "25000m", std::string(60000, 'x'))).result_int(),
              200u);
}

// Endpoints' responses on a sidecar that has memory for one large response. The first response stops half
// way until `release`.
struct LargeResponses {
    LargeResponses() : sidecar(a_config(kNoAddress, {host("s1", server.at())})) {
        sidecar.driver.apply(sidecar.driver.snapshot(), {20000, 15000, 50, 0, 90000});
        first.wire.write(App::request("deposit"));
        EXPECT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
        for (int i = 0; i < 40; ++i) sidecar.turn();
    }
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server{[&](Wire& wire, const HttpRequest& request, int number) {
        if (request.method() == http::verb::get) return wire.respond(200, "small"), true;
        wire.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + std::string(30000, 'x'));
        if (number == 0) released.wait();
        return wire.write(std::string(30000, 'x')), true;
    }};
    SteppedSidecar sidecar;
    App first{sidecar.listener.endpoint()};
};

// Guards against a sidecar that is killed for its memory: any number of responses was read at once.
TEST(ResponseMemory, IsSharedAndSmallResponsesDoNotWait) {
    LargeResponses responses;
    SteppedSidecar& sidecar = responses.sidecar;
    App second(sidecar.listener.endpoint()), small(sidecar.listener.endpoint());
    second.wire.write(App::request("deposit"));
    ASSERT_TRUE(sidecar.until([&] { return responses.server.seen().size() == 2; }));
    EXPECT_EQ(sidecar.ask(small, App::request("listen")).body(), "small");
    EXPECT_FALSE(is_readable(second.wire));
    responses.release.set_value();
    EXPECT_EQ(sidecar.answer(responses.first).body().size(), 60000u);
    EXPECT_EQ(sidecar.answer(second).body().size(), 60000u);
}

// Guards against a sidecar that is killed for its memory: each idle connection kept the memory of the last
// response that was written to it.
TEST(ResponseMemory, IsFreedWhenTheResponseIsWritten) {
    FakeServer server(
        [](Wire& wire, const HttpRequest&, int) { return wire.respond(200, std::string(60000, 'x')), true; });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    std::list<App> idle;
    for (int i = 0; i < 10; ++i) {
        idle.emplace_back(sidecar.listener.endpoint());
        EXPECT_EQ(sidecar.ask(idle.back(), App::request("listen")).body().size(), 60000u);
    }
    EXPECT_EQ(sidecar.listener.connections(), 10u);
    EXPECT_EQ(sidecar.driver.response_memory()->reserved(), 0u);
}

// A response that waits for memory ends with its attempt like any other.
TEST(ResponseMemory, WaitingResponseEndsAtItsDeadline) {
    LargeResponses responses;
    SteppedSidecar& sidecar = responses.sidecar;
    App second(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(second, App::request("deposit", "300m")).result_int(), 502u);
    responses.release.set_value();
    EXPECT_EQ(sidecar.answer(responses.first).body().size(), 60000u);
    App third(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(third, App::request("deposit")).body().size(), 60000u);
}

TEST(RequestMemory, CorrelationIdIsBounded) {
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", kNoAddress)}));
    App app(sidecar.listener.endpoint());
    std::string request = App::request("deposit");
    request.replace(request.find("9b1f"), 4, std::string(1100, 'f'));
    EXPECT_EQ(sidecar.ask(app, request).result_int(), 400u);
}

}  // namespace
}  // namespace ochregrade::sidecar
