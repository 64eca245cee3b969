// Fixtures of the tests that parse configurations: a full configuration, and the errors of reading one.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {

// A valid configuration that contains most of the fields.
inline json full_config() {
    json config = a_config("127.0.0.1:1", {host("s1", "127.0.0.1:2")});
    config["limits"] = {{"sockets", 512}, {"memory_mb", 64}, {"cores", 0.5}};
    config["peer_listen"] = "127.0.0.1:7946";
    config["peers"] = {"127.0.0.1:7946", "127.0.0.2:7946"};
    config["peers_all"] = "127.0.0.255:7946";
    config["ochregrade"]["trial"] = {{"bake_ms", 5000}, {"margin", 0.1}, {"min_samples", 20}};
    config["settings"]["azs"] = {"a", "b"};
    config["settings"]["my-zone"] = "a";
    config["settings"]["goal"] = {{"whole", 0.4}};
    config["settings"]["tenants"] = json::array({{{"name", "tenant-a"}, {"share", 0.28}}});
    config["settings"]["rules"] = {{"cold-from", 0.2}, {"grace-to-answer-ms", 20}};
    return config;
}

// The validation errors that `read` throws, each as "<field> <what>"; empty if `read` does not throw.
inline std::vector<std::string> errors_of(const std::function<void()>& read) {
    std::vector<std::string> all;
    try {
        read();
    } catch (const ConfigError& error) {
        for (const ValidationError& validation : error.errors)
            all.push_back(validation.field + " " + validation.what);
    }
    return all;
}

}  // namespace ochregrade::sidecar
