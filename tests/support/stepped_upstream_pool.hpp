// The upstream pool on an event loop that the test runs step by step.
#pragma once

#include <functional>
#include <future>
#include <optional>
#include <vector>

#include "proxy/upstream_pool.hpp"
#include "support/fake_upstream.hpp"

namespace ochregrade::sidecar {

/// An UpstreamPool alone, on an event loop that the test runs.
struct SteppedUpstreamPool {
    explicit SteppedUpstreamPool(UpstreamPool::Limits limits) : upstream(io, clock, limits, handlers()) {}
    UpstreamPool::Handlers handlers() {
        return {[this](AttemptKey, Outcome outcome, HttpResponse* response) {
                    outcomes.push_back(outcome);
                    io.stop();
                    if (response) bodies.push_back(response->body());
                },
                [](EndpointId, Outcome, Millis) {},
                [this](AttemptKey key, bool) { return !may_write || may_write(key); }};
    }
    void send(EndpointId server, const std::string& to, std::size_t body = 1,
              std::optional<Millis> write_until = {}) {
        auto request =
            std::make_shared<HttpRequest>(http::verb::post, "/deposit", 11, std::string(body, 'x'));
        request->prepare_payload();
        upstream.send({++last, 0}, server, endpoint_of(to), request, clock.now() + 60000,
                      write_until.value_or(clock.now() + 60000));
    }
    void run() {
        io.restart();
        io.run_for(kPatience);
    }
    asio::io_context io{1};
    Clock clock;
    std::vector<Outcome> outcomes;
    std::vector<std::string> bodies;
    std::function<bool(AttemptKey)> may_write;
    RequestId last = 0;
    UpstreamPool upstream;
};

/// A request of which as much is written as the kernels hold. Its server reads when `go` is set, and reports
/// how much came.
struct PartlyWrittenRequest {
    static constexpr std::size_t kWhole = 64 << 20;
    explicit PartlyWrittenRequest(Millis time = 60000) {
        pool.send(1, text_of(server.at), kWhole, pool.clock.now() + time);
        while (pool.io.run_one_for(std::chrono::milliseconds(300)) > 0) {
        }
    }
    std::promise<void> go;
    std::promise<std::size_t> came;
    Acceptor server{[this](Wire& wire) {
                        go.get_future().wait();
                        came.set_value(wire.rest().size());
                    },
                    2048};
    SteppedUpstreamPool pool{{1000, 15000, 10, 0}};
};

}  // namespace ochregrade::sidecar
