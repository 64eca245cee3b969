// A change of the configuration while a request is being read.
#include "proxy/balancer_driver.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

// The request starts under one configuration and arrives completely under another.
TEST(BalancerDriver, RequestIsValidatedByConfigurationAtItsLastByte) {
    FakeServer server;
    json config = a_config(kNoAddress, {host("s1", server.at())});
    SteppedSidecar sidecar(config);
    App removed_class(sidecar.listener.endpoint()), changed_class(sidecar.listener.endpoint()),
        same_class(sidecar.listener.endpoint());
    struct {
        App* app;
        std::string text;
        unsigned status;
    } all[] = {{&removed_class, App::request("listen"), 400},
               {&changed_class, App::request("annotate", "25000m", "x"), 400},  // a key is now invalid
               {&same_class, App::request("deposit", "25000m", "x"), 200}};
    for (auto& each : all) each.app->wire.write(each.text.substr(0, each.text.size() - 1));
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 3; }));
    sidecar.turn();
    config["settings"]["classes"].erase(0);
    config["settings"]["classes"][1]["effect"] = "once";
    sidecar.driver.apply(SteppedSidecar::snapshot_of(config, 2), {20000, 15000, 50, 0});
    for (auto& each : all)
        EXPECT_EQ(sidecar.ask(*each.app, each.text.substr(each.text.size() - 1)).result_int(), each.status);
    EXPECT_EQ(server.seen().size(), 1u);
}

// The request class has the same name but is not idempotent any more: the request is not retried.
TEST(BalancerDriver, RequestBeingReadUsesNewIdempotencyOfItsClass) {
    FakeServer server([](Wire& wire, const HttpRequest&, int number) {
        return number == 0 ? (wire.reset(), false) : (wire.respond(200, "fine"), true);
    });
    json config = a_config(kNoAddress, {host("s1", server.at())});
    config["settings"]["classes"][2]["effect"] = "by_key";
    SteppedSidecar sidecar(config);
    App app(sidecar.listener.endpoint());
    const std::string text =
        "POST /annotate HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c1\r\nX-Service-Class: "
        "annotate\r\nX-Time-Left: 25000m\r\nContent-Length: 1\r\n\r\nx";
    app.wire.write(text.substr(0, 60));  // part of the request's head
    ASSERT_TRUE(sidecar.until([&] { return sidecar.listener.connections() == 1; }));
    sidecar.turn();
    config["settings"]["classes"][2]["effect"] = "once";
    sidecar.driver.apply(SteppedSidecar::snapshot_of(config, 2), {20000, 15000, 50, 0});
    EXPECT_EQ(sidecar.ask(app, text.substr(60)).result_int(), 502u);
    EXPECT_EQ(server.seen().size(), 1u);
}

}  // namespace
}  // namespace ochregrade::sidecar
