// Tests the calls to discovery: long polls, failed calls, and a change of discovery's address.
#include "discovery/discovery_client.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(DiscoveryClient, RecoversFromInvalidAndOutdatedListsAndDowntime) {
    FakeServer server;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", kNoAddress)}));
    EXPECT_EQ(discovery.wait_for(1).at(0), "/v1/servers?after=5&wait_ms=");
    discovery.say("{\"seq\":");
    EXPECT_EQ(discovery.wait_for(2).at(1), "/v1/servers");
    discovery.say(4, true, {});  // older than the current list
    discovery.wait_for(3);
    discovery.say("");  // discovery closes the connection
    EXPECT_EQ(discovery.wait_for(4).at(3), "/v1/servers");
    discovery.say(9, true, {host("s2", server.at())});
    EXPECT_EQ(discovery.wait_for(5).at(4), "/v1/servers?after=9&wait_ms=");
    App app(sidecar.at);
    // The sidecar may not have applied the list yet, because the client starts the next call first.
    const auto start = std::chrono::steady_clock::now();
    while (app.ask(App::request("listen")).result_int() != 200u) ASSERT_LT(seconds_since(start), 30);
}

// After a call without a response the client requests only the changes since the current list. If each of
// many sidecars requested the complete list, an overloaded discovery could not recover.
TEST(DiscoveryClient, RequestsOnlyChangesAfterFailedCall) {
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", kNoAddress)}));
    EXPECT_EQ(discovery.wait_for(1).at(0), "/v1/servers?after=5&wait_ms=");
    discovery.say("");  // discovery closes the connection
    EXPECT_EQ(discovery.wait_for(2).at(1), "/v1/servers?after=5&wait_ms=");
    discovery.say(6, false, {host("s2", kNoAddress)});
    discovery.say("");
    EXPECT_EQ(discovery.wait_for(4).at(3), "/v1/servers?after=6&wait_ms=");
}

// The client waits for a complete list even if it takes longer than the connect timeout: a retry would
// discard the work that discovery has already done on the list.
TEST(DiscoveryClient, WaitsForSlowFullList) {
    FakeDiscovery discovery;
    json config = a_config(discovery.at(), {});
    config.erase("known");
    Running sidecar(config);
    EXPECT_EQ(discovery.wait_for(1).at(0), "/v1/servers");
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));  // longer than the connect timeout of 2 s
    discovery.say(1, true, {host("s1", kNoAddress)});
    EXPECT_EQ(discovery.wait_for(2).at(1), "/v1/servers?after=1&wait_ms=")
        << "the first call was not retried";
}

// A long poll that has stalled looks like one without changes until its timeout expires, so its wait_ms
// bounds how old the list may get. The wait, the timeout beyond it, a pause and one more call must together
// end within the 6 s after which the protocol counts the sidecar as notified of a change.
TEST(DiscoveryClient, ReopensStalledWatchBeforeListIsTooOld) {
    constexpr int kNotifiedWithinMs = 6000, kTimeoutBeyondWaitMs = 2000, kMaxPauseMs = 1500;
    FakeServer server;
    FakeDiscovery discovery;
    Running sidecar(a_config(discovery.at(), {host("s1", kNoAddress)}));
    discovery.fall_silent();
    discovery.say(6, false, {host("s1", kNoAddress, "DELETED"), host("s2", server.at())});
    EXPECT_EQ(discovery.wait_for(2).at(1), "/v1/servers?after=5&wait_ms=");
    discovery.wait_for(3);
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
    discovery.say(7, false, {});
    discovery.wait_for(4);
    const std::vector<int> waits = discovery.waits();
    for (const int wait : waits) EXPECT_LE(wait, kNotifiedWithinMs - kTimeoutBeyondWaitMs - kMaxPauseMs);
    EXPECT_NE(waits[1], waits[2]) << "many sidecars must not make their calls at the same time";
}

// The discovery service at the new address numbers its lists independently, so its list 2 must be accepted
// after list 7 of the old address. A late response from the old address is ignored. On a reload the file's
// address wins over NODE_DISCOVERY. Reloading an invalid file changes nothing.
TEST(DiscoveryClient, FollowsAddressChangeAtOnce) {
    FakeServer first, second;
    FakeDiscovery old_discovery, new_discovery;
    json config = a_config(old_discovery.at(), {host("s1", first.at())});
    ConfigFile file(config.dump());
    Running sidecar(config);
    App app(sidecar.at);
    old_discovery.wait_for(1);
    file.write("{\"discovery\":");
    sidecar.reload();
    old_discovery.say(7, false, {});
    EXPECT_EQ(old_discovery.wait_for(2).at(1), "/v1/servers?after=7&wait_ms=")
        << "the client still calls the old address";
    config["discovery"] = new_discovery.at();
    file.write(config.dump());
    ::setenv("NODE_DISCOVERY", old_discovery.at().c_str(), 1);
    sidecar.reload();
    EXPECT_EQ(new_discovery.wait_for(1).at(0), "/v1/servers");
    old_discovery.say(8, true, {});
    new_discovery.say(2, true, {host("s2", second.at())});
    EXPECT_EQ(new_discovery.wait_for(2).at(1), "/v1/servers?after=2&wait_ms=");
    ::unsetenv("NODE_DISCOVERY");
    const auto start = std::chrono::steady_clock::now();
    while (second.seen().empty()) {
        EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
        ASSERT_LT(seconds_since(start), 30);
    }
    EXPECT_EQ(old_discovery.wait_for(2).size(), 2u);
}

// A change of the address during the pause after a failed call ends the pause.
TEST(DiscoveryClient, CallsNewAddressAtOnceDuringPause) {
    asio::io_context io(1);
    FakeDiscovery new_discovery;
    new_discovery.say(1, true, {});
    bool failed = false, received = false;
    DiscoveryClient discovery(
        io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 1), std::nullopt, true, 7,
        {[&](const EndpointList&) { received = true, io.stop(); }, [&] { failed = true, io.stop(); }});
    discovery.watch(true);
    io.run_for(kPatience);
    ASSERT_TRUE(failed);
    discovery.set_address(endpoint_of(new_discovery.at()));
    io.restart();
    io.run_for(kPatience);
    EXPECT_TRUE(received);
    new_discovery.wait_for(2);  // the long polls continue at the new address
}

// The pause after a failed call protects an overloaded discovery. A stalled long poll has already lasted
// until its timeout, so a pause after it would only make the list older.
TEST(DiscoveryClient, RepeatsTimedOutCallWithoutReportingFailure) {
    asio::io_context io(1);
    FakeDiscovery silent;
    silent.fall_silent();
    silent.say(6, false, {});
    int failed = 0;
    bool received = false;
    DiscoveryClient discovery(io, endpoint_of(silent.at()), 5, true, 7,
                              {[&](const EndpointList&) { received = true, io.stop(); }, [&] { ++failed; }});
    discovery.watch(true);
    io.run_for(kPatience);
    EXPECT_TRUE(received);
    EXPECT_EQ(failed, 0);
}

}  // namespace
}  // namespace ochregrade::sidecar
