// The time for which a request is unread in the kernel, and the time left that is sent to an endpoint.
#include "proxy/unread_time.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

// The time left that was sent to an endpoint, in milliseconds.
Millis propagated_time_left(const HttpRequest& request) {
    const std::string text(request["X-Time-Left"]);
    return std::stod(text.substr(0, text.size() - 1)) / 1000;
}

// The client's time left also runs while this process is paused and the request is unread in the kernel.
TEST(PropagatedDeadline, CountsTimeWhileProcessIsPaused) {
    constexpr Millis kTimeLeft = 4000, kPause = 600, kSlack = 150;
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App idle(sidecar.listener.endpoint());
    ASSERT_EQ(sidecar.ask(idle, kHealthRequest).result_int(), 200u);
    const auto several_checks =
        std::chrono::milliseconds(120);  // the listener's deadline check runs every 50 ms
    sidecar.io.restart(), sidecar.io.run_for(several_checks);
    App fresh(sidecar.listener.endpoint());
    idle.wire.write(App::request("listen", "4000m"));
    fresh.wire.write(App::request("listen", "4000m"));
    std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int>(kPause)));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 2; }));
    for (const HttpRequest& request : server.seen())
        EXPECT_LE(propagated_time_left(request), kTimeLeft - kPause + kSlack);
    // Once all bytes that had waited are read, the pause is not subtracted from the time left of later
    // requests.
    sidecar.io.restart(), sidecar.io.run_for(several_checks);
    idle.wire.write(App::request("listen", "4000m"));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 3; }));
    EXPECT_GT(propagated_time_left(server.seen().back()), kTimeLeft - kPause);
}

// The client's time left also runs while its request is pipelined behind another.
TEST(PropagatedDeadline, CountsTimeWhilePipelinedRequestWaits) {
    constexpr Millis kTimeLeft = 4000, kServiceTime = 500, kSlack = 150;
    FakeServer server([](Wire& w, const HttpRequest&, int number) {
        if (number == 0) std::this_thread::sleep_for(std::chrono::milliseconds(500));
        return w.respond(200, "fine"), true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    app.wire.write(App::request("listen", "4000m") + App::request("listen", "4000m"));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 2; }));
    EXPECT_LE(propagated_time_left(server.seen().back()), kTimeLeft - kServiceTime + kSlack);
}

// The time left that is sent to an endpoint has a margin subtracted: the process may be delayed by up to 0.15
// s, the whole slack of the protocol, between computing the time left and writing it, and the network takes
// time too. From a short time left, only a small share is subtracted.
TEST(PropagatedDeadline, LeavesMarginForDelayBeforeWrite) {
    constexpr Millis kLong = 2000, kShort = 400, kMargin = 20, kMinShare = 0.85;
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    ASSERT_EQ(sidecar.ask(app, App::request("listen", "2000m")).result_int(), 200u);
    ASSERT_EQ(sidecar.ask(app, App::request("listen", "400m")).result_int(), 200u);
    EXPECT_LE(propagated_time_left(server.seen().at(0)), kLong - kMargin);
    EXPECT_LE(propagated_time_left(server.seen().at(1)), kShort - kMargin);
    EXPECT_GE(propagated_time_left(server.seen().at(1)), kShort * kMinShare);
}

}  // namespace
}  // namespace ochregrade::sidecar
