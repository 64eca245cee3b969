// Clients of the sidecar and of its operators' endpoint.
#pragma once

#include <atomic>
#include <string>

#include "support/test_connection.hpp"

namespace ochregrade::sidecar {

/// A client of the sidecar.
class App {
public:
    explicit App(const tcp::endpoint& at) : wire(connected(at)) {}
    static std::string request(const std::string& grade, const std::string& time_left = "25000m",
                               const std::string& body = "", const std::string& more = "") {
        static std::atomic<int> last{0};
        return (grade == "listen" ? "GET /" : "POST /") + grade + "?sid=7f HTTP/1.1\r\nHost: api\r\n" +
               "X-Correlation-Id: 9b1f" + std::to_string(++last) + "\r\nX-Service-Class: " + grade +
               "\r\nX-Time-Left: " + time_left + "\r\n" +
               (grade == "annotate" ? "Idempotency-Key: 5c0f\r\n" : "") + more +
               (grade == "listen" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
               body;
    }
    HttpResponse ask(const std::string& text) {
        wire.write(text);
        return answer();
    }
    HttpResponse answer() {
        HttpResponse response;
        if (!wire.read(response)) response.result(0u);
        return response;
    }
    Wire wire;

private:
    tcp::socket connected(const tcp::endpoint& at) {
        tcp::socket socket(io_);
        socket.connect(at);
        socket.set_option(tcp::no_delay(true));
        return socket;
    }
    static inline asio::io_context io_;
};

/// A client of the operators' endpoint.
class Operator {
public:
    explicit Operator(const tcp::endpoint& at) : app_(at) {}
    HttpResponse raw(const std::string& text) { return app_.ask(text); }
    HttpResponse call(const std::string& method, const std::string& target, const std::string& body = "") {
        return raw(method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:1\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    json get(const std::string& target) {
        const HttpResponse r = call("GET", target);
        EXPECT_EQ(r.result_int(), 200u) << r.body();
        return json::parse(r.body(), nullptr, false);
    }
    json post(const std::string& target, const json& body = nullptr, unsigned status = 200) {
        const HttpResponse r = call("POST", target, body.is_null() ? "" : body.dump());
        EXPECT_EQ(r.result_int(), status) << target << " " << r.body();
        return json::parse(r.body(), nullptr, false);
    }

private:
    App app_;
};

}  // namespace ochregrade::sidecar
