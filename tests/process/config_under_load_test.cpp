// Tests that requests are handled correctly while the configuration changes continuously.
#include <atomic>
#include <map>

#include "process/node_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

// A server that counts how often each request arrives. It responds 500 to requests that are not idempotent
// (class deposit) and 200 to all others.
class CountingServer {
public:
    std::string at() const { return server_.at(); }
    std::map<std::string, int> counts() const {
        std::lock_guard lock(mutex_);
        return counts_;
    }

private:
    bool answer(Wire& wire, const HttpRequest& request) {
        std::lock_guard lock(mutex_);
        ++counts_[std::string(request["X-Correlation-Id"])];
        const bool fails = request["X-Service-Class"] == "deposit";
        wire.respond(fails ? 500 : 200, std::string(request.target()));
        return true;
    }

    mutable std::mutex mutex_;
    std::map<std::string, int> counts_;  // by correlation id
    FakeServer server_{[this](Wire& wire, const HttpRequest& request, int) { return answer(wire, request); }};
};

// Clients that send requests of all classes until they are stopped.
class Clients {
public:
    explicit Clients(const tcp::endpoint& sidecar) {
        for (int client = 0; client < 4; ++client)
            threads_.emplace_back([this, sidecar, client] { send_requests(sidecar, client); });
    }
    ~Clients() { stop(); }
    void stop() {
        stop_ = true;
        for (std::thread& thread : threads_)
            if (thread.joinable()) thread.join();
    }
    std::atomic<int> asked{0}, answered{0}, wrong{0};

private:
    void send_requests(const tcp::endpoint& sidecar, int first) {
        App app(sidecar);
        const std::vector<std::string> classes = {"listen", "deposit", "annotate"};
        for (int i = first; !stop_; ++i) {
            const std::string& request_class = classes[static_cast<std::size_t>(i) % classes.size()];
            ++asked;
            send_in_two_parts(app, request_class, i % 4 == 0);
            check(app.answer(), request_class);
        }
    }
    // Sends one request in two parts, with 1 ms between them if `pause` is true. The configuration may change
    // between the parts.
    static void send_in_two_parts(App& app, const std::string& request_class, bool pause) {
        const std::string body = request_class == "listen" ? "" : "body";
        const std::string text = App::request(request_class, "25000m", body);
        app.wire.write(text.substr(0, text.size() / 2));
        if (pause) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        app.wire.write(text.substr(text.size() / 2));
    }
    void check(const HttpResponse& response, const std::string& request_class) {
        answered += response.result_int() != 0;
        const unsigned expected = request_class == "deposit" ? 502 : 200;
        const bool same_body = response.body() == "/" + request_class + "?sid=7f";
        if (response.result_int() != expected || (expected == 200 && !same_body)) ++wrong;
    }

    std::atomic<bool> stop_{false};
    std::vector<std::thread> threads_;
};

// `config` with another index for every class, another maximum number of attempts, and zones, one of them
// this sidecar's.
json reversed(json config) {
    json& classes = config["settings"]["classes"];
    std::reverse(classes.begin(), classes.end());
    classes.insert(classes.begin(), json{{"name", "extra"}, {"effect", "repeatable"}, {"on-time-ms", 5000}});
    config["settings"]["limits"]["max-attempts"] = 2;
    config["settings"]["azs"] = {"b", "a"};
    config["settings"]["my-zone"] = "a";
    return config;
}

// Each request must be handled under one configuration and get one response. Under a mixture of two
// configurations, a request that is not idempotent could be retried, or a valid request be rejected.
TEST(UnderLoad, EachRequestGetsOneResponseUnderOneConfiguration) {
    CountingServer server;
    const json one = with_admin(a_config(kUnusedAddress, {host("s1", server.at())}));
    const json other = reversed(one);
    Running sidecar(one);
    Clients clients(sidecar.at);
    Operator operators(sidecar.admin);
    int changes = 0;
    const auto patience = steady_clock::now() + kPatience;
    for (; changes < 300 || (clients.asked < 400 && steady_clock::now() < patience); ++changes) {
        EXPECT_EQ(operators.post("/v1/config", changes % 2 ? one : other).at("result"), "applied");
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
    clients.stop();
    EXPECT_GT(clients.asked, 300);
    EXPECT_EQ(clients.answered, clients.asked);
    EXPECT_EQ(clients.wrong, 0);
    const auto runs = server.counts();
    for (const auto& [id, count] : runs) EXPECT_EQ(count, 1) << id;
    EXPECT_EQ(static_cast<int>(runs.size()), clients.asked);
    EXPECT_TRUE(until([&] { return sidecar.usage().requests == 0; }));
    EXPECT_EQ(operators.get("/v1/config").at("generation"), 1 + changes);
}

}  // namespace
}  // namespace ochregrade::sidecar
