// Disconnects of clients: after a disconnect, whenever it happens, nothing more is sent for the client. Also
// the limits on pipelined bytes, which must not hide a disconnect.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "support/stepped_sidecar.hpp"
#include "support/stepped_upstream_pool.hpp"

namespace ochregrade::sidecar {
namespace {

// The client disconnects right after it has sent its request: the sidecar has read neither from the kernel.
// An idle upstream connection is available, on which the request could be sent at once.
TEST(ClientDisconnect, UnreadInKernelIsDetectedBeforeSend) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App first(sidecar.listener.endpoint());
    ASSERT_EQ(sidecar.ask(first, App::request("listen")).result_int(), 200u);
    for (const bool reset : {false, true}) {
        App app(sidecar.listener.endpoint());
        ASSERT_EQ(sidecar.ask(app, kHealthRequest).result_int(), 200u);
        app.wire.write(App::request("listen"));
        reset ? app.wire.reset() : app.wire.socket.close();
        const auto disconnects_before = sidecar.driver.totals().client_disconnects;
        ASSERT_TRUE(sidecar.until([&] {
            return sidecar.driver.totals().client_disconnects > disconnects_before ||
                   server.seen().size() > 1;
        }));
    }
    EXPECT_TRUE(sidecar.until([&] { return sidecar.driver.usage().attempts == 0; }));
    EXPECT_EQ(server.seen().size(), 1u);
}

// The client disconnects while the upstream connection is being established: nothing is written, because
// may_write() is called before the first byte.
TEST(ClientDisconnect, DuringConnectPreventsWrite) {
    FakeServer server;
    SteppedUpstreamPool pool({1000, 15000, 10, 0});
    pool.may_write = [&](AttemptKey key) { return pool.upstream.withdraw_request(key.id), true; };
    pool.send(1, server.at());
    pool.run();
    EXPECT_EQ(pool.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_EQ(pool.upstream.open(), 0u);
    EXPECT_TRUE(server.seen().empty());
}

TEST(ClientDisconnect, IsCheckedAfterConnect) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    ASSERT_EQ(sidecar.ask(app, kHealthRequest).result_int(), 200u);
    app.wire.write(App::request("listen"));
    // When the client disconnects, the kernel has established the upstream connection. The sidecar has
    // handled neither of the two events yet.
    while (sidecar.driver.usage().connections == 0) sidecar.io.restart(), sidecar.io.run_one();
    app.wire.socket.close();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
    EXPECT_TRUE(sidecar.until([&] { return sidecar.driver.usage().requests == 0; }));
    EXPECT_TRUE(server.seen().empty());
}

// A request that is not written completely has not run, so its attempt can be ended without risk: when the
// client disconnects (even if the configuration forbids cancelling attempts), on cancel() and on expire().
TEST(ClientDisconnect, PartlyWrittenRequestIsWithdrawn) {
    const auto check = [&](const char* how, Outcome outcome,
                           const std::function<void(SteppedUpstreamPool&)>& end) {
        SCOPED_TRACE(how);
        PartlyWrittenRequest request;
        end(request.pool);
        EXPECT_EQ(request.pool.outcomes, std::vector<Outcome>{outcome});
        EXPECT_EQ(request.pool.upstream.open(), 0u);
        request.go.set_value();
        EXPECT_LT(request.came.get_future().get(), PartlyWrittenRequest::kWhole);
    };
    check("its client disconnected", Outcome::not_sent,
          [](SteppedUpstreamPool& pool) { pool.upstream.withdraw_request(pool.last); });
    check("cancelled", Outcome::not_sent, [](SteppedUpstreamPool& pool) {
        pool.upstream.cancel({pool.last, 0});
    });
    check("expired", Outcome::connect_failure, [](SteppedUpstreamPool& pool) {
        pool.upstream.expire({pool.last, 0});
    });
}

// The disconnect may be unread in the kernel when the next part of the request can be written. So
// may_write(), which checks the client's socket, is called before each part.
TEST(ClientDisconnect, IsCheckedBeforeEachFurtherWrite) {
    PartlyWrittenRequest request;
    request.pool.may_write = [](AttemptKey) { return false; };
    request.go.set_value();
    request.pool.run();
    EXPECT_EQ(request.pool.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_LT(request.came.get_future().get(), PartlyWrittenRequest::kWhole);
}

// Pipelined bytes must not hide a disconnect of the client, however many there are.
TEST(ClientDisconnect, IsDetectedBehindAnyAmountOfPipelinedBytes) {
    for (const std::size_t pipelined_bytes : {40u << 10, 100u << 10, 1000u << 10}) {
        SCOPED_TRACE(pipelined_bytes);
        std::promise<bool> closed;
        FakeServer server([&](Wire& wire, const HttpRequest&, int) {
            closed.set_value(wire.ended());
            return false;
        });
        SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
        auto app = std::make_unique<App>(sidecar.listener.endpoint());
        app->wire.write(App::request("listen"));
        ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
        std::string pipelined;
        while (pipelined.size() < pipelined_bytes) pipelined += App::request("listen");
        std::thread client([&] { app->wire.write(pipelined), app.reset(); });
        EXPECT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
        client.join();
        EXPECT_TRUE(closed.get_future().get());
        EXPECT_EQ(server.seen().size(), 1u) << "no pipelined request is sent either";
        EXPECT_EQ(sidecar.listener.connections(), 0u);
    }
}

// Writes `bytes` and closes the connection, both before the sidecar reads anything.
void write_and_close(App& app, const std::string& bytes) {
    app.wire.socket.set_option(asio::socket_base::send_buffer_size(1 << 20));
    const int socket = app.wire.socket.native_handle();
    ASSERT_EQ(::send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    app.wire.socket.close();
}

// Guards against an attempt for a client that has left: before an attempt only the first unread byte was
// looked at, and the end of the connection was behind many.
TEST(ClientDisconnect, BehindUnreadBytesPreventsTheFirstAttempt) {
    for (const std::size_t behind : {10u << 10, 200u << 10}) {
        FakeServer server;
        SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
        App app(sidecar.listener.endpoint());
        write_and_close(app, App::request("deposit") + std::string(behind, 'x'));
        EXPECT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
        EXPECT_EQ(sidecar.driver.totals().arrived, 1u);
        EXPECT_EQ(server.connections(), 0) << behind;
    }
}

// The same for a request that was pipelined: it must not be sent when the response before it is written.
TEST(ClientDisconnect, BehindUnreadBytesPreventsPipelinedRequests) {
    FakeServer server;
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    write_and_close(app, kHealthRequest + App::request("deposit") + std::string(10 << 10, 'x'));
    EXPECT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 0; }));
    EXPECT_EQ(server.connections(), 0);
}

// The same for a retry: the client left while the first attempt was in flight.
TEST(ClientDisconnect, BehindUnreadBytesPreventsTheRetry) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(503, "", "X-Unprocessed: 1\r\n"), true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    app.wire.write(App::request("deposit"));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
    release.set_value();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));  // the rejection is in the kernel
    write_and_close(app, std::string(200 << 10, 'x'));
    EXPECT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
    EXPECT_EQ(server.seen().size(), 1u);
}

// A client that sends without end may have left unnoticed. It gets its final response.
TEST(ClientDisconnect, EndlessBytesFailTheRequestAtItsNextAttempt) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(503, "", "X-Unprocessed: 1\r\n"), true;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.at);
    app.wire.write(App::request("deposit"));
    ASSERT_TRUE(server.wait_for(1));
    std::thread flood([&] {
        const std::string block(256 << 10, 'x');
        while (!is_readable(app.wire))
            ::send(app.wire.socket.native_handle(), block.data(), block.size(), MSG_NOSIGNAL);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    release.set_value();
    flood.join();
    const unsigned status = app.answer().result_int();
    EXPECT_TRUE(status == 502u || status == 503u) << status;
}

// Guards against a request that runs twice: its client left, and the same id came again on another connection
// while the first run was in flight, or after it.
TEST(ClientDisconnect, IdThatMayHaveRunIsRejectedWhenItComesAgain) {
    for (const bool may_cancel : {false, true}) {
        std::promise<void> release;
        std::shared_future<void> released = release.get_future().share();
        FakeServer server([&](Wire& wire, const HttpRequest&, int) {
            return released.wait(), wire.respond(200, "fine"), true;
        });
        json config = a_config(kNoAddress, {host("s1", server.at())});
        config["settings"]["limits"]["may-cancel"] = may_cancel;
        SteppedSidecar sidecar(config);
        const std::string request = App::request("deposit");
        auto left = std::make_unique<App>(sidecar.listener.endpoint());
        left->wire.write(request);
        ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
        left.reset();
        ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
        App again(sidecar.listener.endpoint());
        EXPECT_EQ(sidecar.ask(again, request).result_int(), 409u);
        release.set_value();
        ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.usage().attempts == 0; }));
        EXPECT_EQ(sidecar.ask(again, request).result_int(), 409u);
        EXPECT_EQ(server.seen().size(), 1u);
    }
}

// What has not run, or may run twice, is served when it comes again.
TEST(ClientDisconnect, IdThatMayRunIsServedWhenItComesAgain) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        if (number == 0) released.wait();
        return wire.respond(200, "fine"), true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    const std::string not_sent = App::request("deposit"), repeatable = App::request("listen");
    auto left = std::make_unique<App>(sidecar.listener.endpoint());
    left->wire.write(repeatable);
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
    left.reset();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
    release.set_value();
    App before(sidecar.listener.endpoint());
    write_and_close(before, not_sent + std::string(10 << 10, 'x'));
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 2; }));
    App again(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(again, repeatable).result_int(), 200u);
    EXPECT_EQ(sidecar.ask(again, not_sent).result_int(), 200u);
}

// The client may also leave while its response is being written.
TEST(ClientDisconnect, IdWhoseResponseWasNotReadIsRejectedWhenItComesAgain) {
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return wire.respond(200, std::string(64 << 10, 'x')), true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    const std::string request = App::request("deposit");
    auto left = std::make_unique<App>(sidecar.listener.endpoint());
    left->wire.write(request);
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
    // The response is in this process's memory or in the kernel when the connection is reset.
    left->wire.reset();
    left.reset();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 0; }));
    App again(sidecar.listener.endpoint());
    EXPECT_EQ(sidecar.ask(again, request).result_int(), 409u);
    EXPECT_EQ(server.seen().size(), 1u);
}

// A disconnect behind pipelined bytes must also be detected soon: the 4 MB that a kernel holds for a sender
// are discarded within 0.3 s, which is six deadline checks (one per 50 ms). The test makes a deadline check,
// and counts it, whenever the event loop has had nothing to do for 5 ms.
TEST(ClientDisconnect, IsDetectedBehindFullKernelBufferWithinSixChecks) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire&, const HttpRequest&, int) { return released.wait(), false; });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint());
    app.wire.write(App::request("listen"));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
    std::size_t unsent_bytes = 4 << 20;
    const std::string block(64 << 10, 'x');
    const auto send_until_full = [&] {
        const int socket = app.wire.socket.native_handle();
        for (ssize_t n = 1; unsent_bytes > 0 && n > 0;
             unsent_bytes -= n > 0 ? static_cast<std::size_t>(n) : 0)
            n = ::send(socket, block.data(), std::min(unsent_bytes, block.size()),
                       MSG_DONTWAIT | MSG_NOSIGNAL);
        if (unsent_bytes == 0) ::shutdown(socket, SHUT_WR);
    };
    int checks = 0;
    ASSERT_TRUE(sidecar.until([&] {
        do send_until_full(), sidecar.io.restart();
        while (sidecar.io.poll() > 0);
        if (sidecar.driver.totals().client_disconnects == 1) return true;
        sidecar.io.restart();
        if (sidecar.io.run_for(std::chrono::milliseconds(5)) == 0)
            sidecar.listener.check_deadlines(), ++checks;
        return false;
    }));
    EXPECT_LE(checks, 6);
    release.set_value();
}

// One whole request may be pipelined behind another. If more bytes are pipelined, the connection is closed
// after the response to the request being served.
TEST(PipelinedRequests, AreServedInOrderUpToLimit) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    App app(sidecar.listener.endpoint()), flood(sidecar.listener.endpoint());
    app.wire.write(App::request("listen"));
    flood.wire.write(App::request("listen"));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 2; }));
    app.wire.write(App::request("deposit", "25000m", std::string(60000, 'x')));
    std::atomic<bool> written{false};
    std::thread client([&] { flood.wire.write(std::string(400 << 10, 'x')), written = true; });
    // All bytes of `flood` have left the client's kernel buffer, so the sidecar has read most of them.
    ASSERT_TRUE(sidecar.until([&] {
        int unsent = 1;
        sidecar.listener.check_deadlines();
        ::ioctl(flood.wire.socket.native_handle(), SIOCOUTQ, &unsent);
        return written && unsent == 0;
    }));
    client.join();
    release.set_value();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().served == 3; }));
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(server.seen().back().body().size(), 60000u);
    const HttpResponse last = sidecar.answer(flood);
    EXPECT_EQ(last.result_int(), 200u);
    EXPECT_FALSE(last.keep_alive());
    EXPECT_TRUE(sidecar.until([&] { return is_readable(flood.wire); }));
    EXPECT_TRUE(flood.wire.ended());
}

// Pipelined bytes count against the memory for bodies (here 90,000 bytes) while they are buffered.
TEST(PipelinedRequests, ShareMemoryForBodiesAndReleaseIt) {
    std::promise<void> release;
    std::shared_future<void> released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    SteppedSidecar sidecar(a_config(kNoAddress, {host("s1", server.at())}), {400, 90000});
    const std::string body(60000, 'x');
    auto pipelining = std::make_unique<App>(sidecar.listener.endpoint());
    App other(sidecar.listener.endpoint());
    pipelining->wire.write(App::request("listen"));
    ASSERT_TRUE(sidecar.until([&] { return server.seen().size() == 1; }));
    pipelining->wire.write(App::request("deposit", "25000m", body));
    for (int i = 0; i < 40; ++i) sidecar.turn();
    EXPECT_EQ(sidecar.ask(other, App::request("deposit", "25000m", body)).result_int(), 503u);
    pipelining.reset();
    ASSERT_TRUE(sidecar.until([&] { return sidecar.driver.totals().client_disconnects == 1; }));
    App retry(sidecar.listener.endpoint());
    release.set_value();
    EXPECT_EQ(sidecar.ask(retry, App::request("deposit", "25000m", body)).result_int(), 200u);
}

// A pipelined request must not hide a disconnect of the client. Here a whole sidecar runs on its own thread.
TEST(ClientDisconnect, IsDetectedBehindPipelinedRequest) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        closed.set_value(wire.ended());
        return false;
    });
    Running sidecar(a_config(kNoAddress, {host("s1", server.at())}));
    const auto start = std::chrono::steady_clock::now();
    {
        App app(sidecar.at);
        app.wire.write(App::request("listen"));
        ASSERT_TRUE(server.wait_for(1));
        app.wire.write(App::request("listen"));
    }
    EXPECT_TRUE(closed.get_future().get());
    EXPECT_LT(seconds_since(start), 20);
    EXPECT_EQ(server.seen().size(), 1u);
}

}  // namespace
}  // namespace ochregrade::sidecar
