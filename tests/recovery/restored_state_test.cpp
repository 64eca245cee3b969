// Tests a sidecar that starts with the endpoint list of the previous run.
#include "state_directory.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(RestoredState, TheFirstRequestIsServedBeforeDiscoveryResponds) {
    FakeServer server;
    FakeDiscovery silent;
    StateDirectory state;
    json config = base_config();
    config.erase("known");
    config["discovery"] = silent.at();
    const auto recover_start = [&] {
        auto store = state.open();
        const RecoveredState recovered = store->recover();
        Start start = decide_start(config, recovered);
        start.state_store = std::move(store);
        return start;
    };
    state.run_stably([&](StateStore& store) {
        EndpointList list =
            parse_endpoint_list({{"seq", 7}, {"whole", true}, {"hosts", {host("s1", server.at())}}});
        store.save_endpoints(list, silent.at(), {});
    });
    Running sidecar(recover_start());
    App app(sidecar.at);
    EXPECT_EQ(app.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
    EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
    EXPECT_EQ(silent.wait_for(1).at(0), "/v1/servers") << "changes since a stored list must not be requested";
    // Discovery has restarted its sequence. The sidecar accepts its list, although the list has a lower
    // sequence number than the stored one.
    silent.say(1, true, {host("s1", server.at())});
    EXPECT_EQ(silent.wait_for(2).at(1), "/v1/servers?after=1&wait_ms=");
}

}  // namespace
}  // namespace ochregrade::sidecar
