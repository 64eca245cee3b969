// The real program while the fault shim (tests/soak/fault_shim.cpp) makes its system calls fail.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>

#include "soak/fault_slots.hpp"
#include "support/process_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

using namespace fault_shim;

class Faults {
public:
    explicit Faults(const Place& place) : path_(place.path + "/shim") {
        const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        EXPECT_EQ(::ftruncate(fd, sizeof(double) * kSlots), 0);
        slots_ = static_cast<double*>(
            ::mmap(nullptr, sizeof(double) * kSlots, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0));
        ::close(fd);
    }
    ~Faults() { ::munmap(slots_, sizeof(double) * kSlots); }
    void set(Slot slot, double value) { slots_[slot] = value; }
    double injected(Slot fault) const { return slots_[kInjected + fault]; }
    std::vector<std::string> environment() const {
        return {"LD_PRELOAD=" OCHREGRADE_FAULT_SHIM, "FAULT_SHIM_CONTROL=" + path_, "FAULT_SHIM_SEED=7",
                "ASAN_OPTIONS=verify_asan_link_order=0:detect_leaks=0"};
    }

private:
    std::string path_;
    double* slots_ = nullptr;
};

struct FixtureWithFaults : Fixture {
    Faults faults{place};
    std::unique_ptr<Process> start() { return Fixture::start(faults.environment()); }
};

// ---- accept reports an aborted connection

TEST(AbortedConnection, DoesNotBlockDrain) {
    std::promise<void> release;
    FakeServer slow([&](Wire& w, const HttpRequest&, int) {
        release.get_future().wait();
        return w.respond(200, "late"), true;
    });
    FixtureWithFaults f;
    SteadyDiscovery discovery(std::vector<json>{host("s1", slow.at())});
    f.config["discovery"] = discovery.at();
    f.place.write(f.config.dump());
    const auto process = f.start();
    App app(f.listen);
    app.wire.write(App::request("deposit"));
    ASSERT_TRUE(slow.wait_for(1));
    f.faults.set(kAcceptAborted, 1);
    auto ended = std::async(std::launch::async, [&] { return process->end(SIGTERM); });
    ASSERT_TRUE(until([&] { return f.faults.injected(kAcceptAborted) > 0; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    f.faults.set(kAcceptAborted, 0);
    release.set_value();
    EXPECT_EQ(app.answer().body(), "late");
    const bool ends = ended.wait_for(std::chrono::seconds(10)) == std::future_status::ready;
    EXPECT_TRUE(ends) << "its event loop is blocked";
    if (!ends) try_asking(f.listen, kHealth);  // wakes the blocked event loop
    EXPECT_EQ(ended.get(), 0);
}

TEST(AbortedConnection, IsNotTakenForEmptyAcceptQueue) {
    FixtureWithFaults f;
    const auto process = f.start();
    f.faults.set(kAcceptAborted, 1);
    App app(f.listen);
    app.wire.write(App::request("listen"));
    ASSERT_TRUE(until([&] { return f.faults.injected(kAcceptAborted) > 0; }));
    f.faults.set(kAcceptAborted, 0);
    const timeval patience{3, 0};
    ::setsockopt(app.wire.socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    EXPECT_EQ(app.answer().result_int(), 200u)
        << "no edge-triggered event comes for the connection behind it";
}

// ---- Interrupted and partial calls

TEST(PartialSystemCalls, LoseNoRequestOrResponse) {
    FakeServer echo([](Wire& w, const HttpRequest& r, int) { return w.respond(200, r.body()), true; });
    FixtureWithFaults f;
    SteadyDiscovery discovery(std::vector<json>{host("s1", echo.at())});
    f.config["discovery"] = discovery.at();
    f.place.write(f.config.dump());
    const auto process = f.start();
    const std::string body(20000, 'b');
    for (const auto& [slot, share] : {std::pair{kShortWrite, 0.2}, {kShortRead, 0.2}, {kInterrupted, 0.2}}) {
        SCOPED_TRACE(slot);
        f.faults.set(slot, share);
        App app(f.listen);
        const timeval patience{3, 0};
        ::setsockopt(app.wire.socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        for (int i = 0; i < 40; ++i) {
            const HttpResponse response = app.ask(App::request("deposit", "2000m", body));
            ASSERT_EQ(response.result_int(), 200u) << "request " << i;
            ASSERT_EQ(response.body(), body);
        }
        EXPECT_GT(f.faults.injected(slot), 0);
        f.faults.set(slot, 0);
    }
}

// ---- The acknowledgement of a response fails

// How many connections two requests need, the second one after the quiet period (25 ms) but while an
// acknowledgement may still be delayed (200 ms).
int connections_for_two_requests(bool acknowledgement_fails) {
    for (;;) {
        FixtureWithFaults f;
        f.faults.set(kAcknowledgeFails, acknowledgement_fails ? 1 : 0);
        const auto process = f.start();
        App app(f.listen);
        EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
        const auto start = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
        if (seconds_since(start) < 0.2) return f.server.connections();  // otherwise the machine was too slow
    }
}

// Guards against responses that are taken for those of other requests: a second response may arrive while the
// acknowledgement of the first one is delayed, so the connection is not reused for that long.
TEST(Acknowledgement, FailurePostponesReuseOfConnection) {
    EXPECT_EQ(connections_for_two_requests(false), 1);
    EXPECT_EQ(connections_for_two_requests(true), 2);
}

// ---- Local errors of connect

// A short lack of ports, routes or buffers on this machine must not count against an endpoint or use up an
// attempt: with only one attempt allowed, each request is still served.
TEST(LocalConnectError, IsRetriedWithoutUsingAnAttempt) {
    FakeServer server([](Wire& w, const HttpRequest&, int) {
        return w.respond(200, "fine", "Connection: close\r\n"), false;
    });
    FixtureWithFaults f;
    SteadyDiscovery discovery(std::vector<json>{host("s1", server.at())});
    f.config["discovery"] = discovery.at();
    f.config["settings"]["limits"]["max-attempts"] = 1;
    f.place.write(f.config.dump());
    const auto process = f.start();
    std::size_t requests_sent = 0;
    for (const Slot fault : {kConnectLocal, kSocketNoBuffers}) {
        SCOPED_TRACE(fault);
        f.faults.set(fault, 0.3);
        for (int i = 0; i < 200 && f.faults.injected(fault) < 5; ++i) {
            ++requests_sent;
            ASSERT_EQ(App(f.listen).ask(App::request("deposit")).result_int(), 200u) << "request " << i;
        }
        f.faults.set(fault, 0);
        EXPECT_GE(f.faults.injected(fault), 5);
    }
    EXPECT_EQ(server.seen().size(), requests_sent);
}

// ---- Startup

TEST(Startup, RetriesAfterShortResourceShortage) {
    FixtureWithFaults f;
    f.faults.set(kSocketNoBuffers, 1);
    auto started = std::async(std::launch::async, [&] { return f.start(); });
    ASSERT_TRUE(until([&] { return f.faults.injected(kSocketNoBuffers) > 3 || f.place.log() != ""; }));
    f.faults.set(kSocketNoBuffers, 0);
    const auto process = started.get();
    EXPECT_TRUE(process->runs()) << f.place.log();
    EXPECT_EQ(process->end(SIGTERM), 0);
}

TEST(Startup, AddressInUseExitsWithStatus2AndNamesAddress) {
    Fixture f;
    asio::io_context io;
    for (const tcp::endpoint& taken : {f.listen, f.admin}) {
        const tcp::acceptor holder(io, taken);
        Process process(f.place, {});
        ASSERT_TRUE(until([&] { return !process.runs(); }));
        EXPECT_EQ(process.end(0), 2);
        EXPECT_NE(f.place.log().find(text_of(taken) + " is taken"), std::string::npos) << f.place.log();
    }
}

// ---- A log pipe that is not read

// A named pipe at `path` whose buffer is full.
class FullPipe {
public:
    explicit FullPipe(const std::string& path) {
        EXPECT_EQ(::mkfifo(path.c_str(), 0600), 0);
        fd_ = ::open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
        const std::string page(4096, '.');
        while (::write(fd_, page.data(), page.size()) > 0) {
        }
        EXPECT_EQ(errno, EAGAIN);
    }
    ~FullPipe() { ::close(fd_); }

private:
    int fd_ = -1;
};

TEST(Log, UnreadPipeDoesNotBlockRequests) {
    Fixture f;
    const FullPipe log(f.place.path + "/log");
    Process process(f.place, {});
    ASSERT_TRUE(until([&] { return try_asking(f.listen, kHealth) == 200; }));
    f.config["settings"]["limits"]["max-attempts"] = 2;  // a change of the configuration is logged
    f.place.write(f.config.dump());
    process.signal(SIGHUP);
    ASSERT_TRUE(until([&] { return f.attempts() == 2; }));
    EXPECT_EQ(try_asking(f.listen, App::request("listen")), 200u);
    EXPECT_EQ(process.end(SIGTERM), 0);
}

}  // namespace
}  // namespace ochregrade::sidecar
