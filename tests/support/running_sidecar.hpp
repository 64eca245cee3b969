// A whole sidecar on a thread of its own, and what it is started with.
#pragma once

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include "process/node.hpp"
#include "support/test_connection.hpp"

namespace ochregrade::sidecar {

/// A valid configuration with three classes; `hosts` are its known endpoints.
inline json a_config(const std::string& discovery, const std::vector<json>& hosts) {
    const auto kind = [](const char* name, const char* effect) {
        return json{{"name", name},        {"effect", effect},         {"on-time-ms", 20000},
                    {"give-up-ms", 30000}, {"dedup-window-ms", 30000}, {"dedup-scope", "all"}};
    };
    return {
        {"name", "n0"},
        {"listen", "127.0.0.1:0"},
        {"discovery", discovery},
        {"seed", "1f"},
        {"known", {{"seq", 5}, {"whole", true}, {"hosts", hosts}}},
        {"settings",
         {{"classes", {kind("listen", "repeatable"), kind("deposit", "once"), kind("annotate", "by_key")}},
          {"limits", {{"max-attempts", 3}, {"may-cancel", true}, {"connect-timeout-ms", 20000}}}}}};
}

/// A sidecar on a thread of its own.
class Running {
public:
    explicit Running(const json& config) : Running(read_config(config)) {}
    template <class From>
    explicit Running(From from)
        : node_(io_, std::move(from)), at(node_.endpoint()), admin(node_.admin_endpoint().value_or(at)) {
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Running() {
        io_.stop();
        thread_.join();
    }
    void reload() {
        asio::post(io_, [this] { node_.reload(); });
    }
    /// The result of `f`, called on the event loop.
    template <class F>
    auto in_loop(F f) {
        std::promise<decltype(f())> promise;
        asio::post(io_, [&] { promise.set_value(f()); });
        return promise.get_future().get();
    }
    BalancerDriver::Usage usage() {
        return in_loop([this] { return node_.usage(); });
    }
    Node& node() { return node_; }  // only from within in_loop
    void stop(const std::function<void()>& done) {
        asio::post(io_, [this, done] { node_.stop(done); });
    }

private:
    asio::io_context io_{1};
    Node node_;
    std::thread thread_;

public:
    tcp::endpoint at, admin;
};

/// The process's configuration file, named by NODE_CONFIG.
class ConfigFile {
public:
    explicit ConfigFile(const std::string& text) {
        write(text);
        ::setenv("NODE_CONFIG", path_.c_str(), 1);
    }
    ~ConfigFile() {
        ::unsetenv("NODE_CONFIG");
        std::remove(path_.c_str());
    }
    void write(const std::string& text) { std::ofstream(path_) << text; }
    void replace(const std::string& text) {
        std::ofstream(path_ + ".new") << text;
        std::rename((path_ + ".new").c_str(), path_.c_str());
    }

private:
    std::string path_ = testing::TempDir() + "ochregrade_config_" + std::to_string(::getpid()) + ".json";
};

/// While it exists no descriptor can be opened; open ones stay open.
class NoDescriptors {
public:
    NoDescriptors() {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit none = before_;
        none.rlim_cur = 3;
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

}  // namespace ochregrade::sidecar
