// Fixtures for tests that change the configuration of a complete sidecar, mostly through its operators'
// endpoint.
#pragma once

#include <chrono>
#include <string>
#include <thread>

#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {

using std::chrono::steady_clock;

// An address on which no process listens.
inline const std::string kUnusedAddress = "127.0.0.1:1";

inline json with_admin(json config) {
    config["ochregrade"]["admin"]["listen"] = "127.0.0.1:0";
    return config;
}

// Waits until `done` returns true; returns false after kPatience.
template <class Done>
bool until(Done done) {
    const auto end = steady_clock::now() + kPatience;
    while (!done()) {
        if (steady_clock::now() > end) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

// Sends one request of the class on a new connection and returns the status of the response.
inline unsigned ask(const tcp::endpoint& at, const std::string& request_class) {
    App app(at);
    return app.ask(App::request(request_class)).result_int();
}

inline json without_class(json config, const std::string& name) {
    auto& classes = config["settings"]["classes"];
    for (auto c = classes.begin(); c != classes.end(); ++c)
        if ((*c)["name"] == name) return classes.erase(c), config;
    return config;
}

}  // namespace ochregrade::sidecar
