// The data path on an event loop that the test runs step by step, so that each order of events can be forced.
#pragma once

#include <chrono>
#include <vector>

#include "control/config.hpp"
#include "proxy/listener.hpp"
#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {

inline const std::string kNoAddress = "127.0.0.1:1";  // nothing listens there
inline const std::string kHealthRequest = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// Whether something has come on the connection, or its peer has ended it.
inline bool is_readable(Wire& wire) {
    char byte;
    return ::recv(wire.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/// A sidecar's data path without discovery, on an event loop that runs only when the test runs it: what
/// clients and endpoints do in between is in the kernel, unread.
struct SteppedSidecar {
    explicit SteppedSidecar(const json& config, Listener::Limits limits = {400, 1 << 20})
        : driver(io, clock, zones, snapshot_of(config, 1), {20000, 15000, 50, 0}),
          listener(io, clock, driver, limits) {
        listener.listen({asio::ip::make_address("127.0.0.1"), 0});
        driver.start();
        listener.mark_ready();
        turn();
    }
    static ConfigSnapshotPtr snapshot_of(const json& config, std::uint64_t version) {
        auto snapshot = std::make_shared<ConfigSnapshot>();
        snapshot->version = version;
        snapshot->config = read_config(config);
        snapshot->settings = std::make_shared<const Settings>(snapshot->config.settings);
        return snapshot;
    }
    /// Runs the loop until nothing is ready.
    void turn() {
        io.restart();
        io.poll();
    }
    /// A complete list from discovery.
    void list(const std::vector<json>& hosts) {
        driver.endpoints_received(parse_endpoint_list(json{{"seq", 6}, {"whole", true}, {"hosts", hosts}}));
    }
    /// Runs the loop until `done` holds, and then what is ready: a handler may leave the rest of its work to
    /// one that it posts. False if `done` does not hold in time.
    template <class Done>
    bool until(Done done) {
        for (const auto end = std::chrono::steady_clock::now() + kPatience; !done();) {
            if (std::chrono::steady_clock::now() > end) return false;
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
        }
        turn();
        return true;
    }
    HttpResponse answer(App& app) {
        EXPECT_TRUE(until([&] { return is_readable(app.wire); }));
        return app.answer();
    }
    HttpResponse ask(App& app, const std::string& text) {
        app.wire.write(text);
        return answer(app);
    }
    asio::io_context io{1};
    Clock clock;
    Zones zones;
    BalancerDriver driver;
    Listener listener;
};

}  // namespace ochregrade::sidecar
