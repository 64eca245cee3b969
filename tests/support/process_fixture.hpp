// The real program as a child process of a test, with a folder of its own and fakes of its surroundings.
#pragma once

#include <spawn.h>
#include <sys/wait.h>

#include <filesystem>

#include "support/sidecar_fixture.hpp"

extern char** environ;

namespace ochregrade::sidecar {

/// A temporary folder with the program's configuration, state and log; removed with the object.
class Place {
public:
    Place() {
        std::string name = testing::TempDir() + "ochregrade_crash_XXXXXX";
        path = ::mkdtemp(name.data());
    }
    ~Place() { std::filesystem::remove_all(path); }
    void write(const std::string& text) const {
        std::ofstream(path + "/new") << text;
        std::filesystem::rename(path + "/new", path + "/config.json");
    }
    std::string state() const { return path + "/state"; }
    std::string log() const {
        std::ifstream file(path + "/log");
        return {std::istreambuf_iterator<char>(file), {}};
    }
    std::string path;
};

/// The program, running with the folder's configuration; killed with the object.
class Process {
public:
    Process(const Place& place, std::vector<std::string> more) {
        std::vector<std::string> variables = {"NODE_CONFIG=" + place.path + "/config.json"};
        for (char** v = environ; *v; ++v)
            if (std::string(*v).rfind("NODE_", 0) != 0 && std::string(*v).rfind("OCHREGRADE_", 0) != 0)
                variables.emplace_back(*v);
        for (auto& v : more) variables.push_back(std::move(v));
        std::vector<char*> env;
        env.reserve(variables.size() + 1);
        for (auto& v : variables) env.push_back(v.data());
        env.push_back(nullptr);
        std::string program = OCHREGRADE_PROGRAM;
        char* arguments[] = {program.data(), nullptr};
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        const std::string log = place.path + "/log";
        posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        EXPECT_EQ(::posix_spawn(&pid_, program.c_str(), &files, nullptr, arguments, env.data()), 0);
        posix_spawn_file_actions_destroy(&files);
    }
    ~Process() { end(SIGKILL); }
    /// Sends `signal` (0: none) and waits for the end. The exit code, or minus the number of the signal that
    /// ended it.
    int end(int signal) {
        if (pid_ <= 0) return result_;
        if (signal) ::kill(pid_, signal);
        int status = 0;
        ::waitpid(std::exchange(pid_, 0), &status, 0);
        return result_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    void signal(int number) {
        if (pid_ > 0) ::kill(pid_, number);
    }
    bool runs() {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) == 0) return pid_ > 0;
        pid_ = 0;
        result_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        return false;
    }

private:
    pid_t pid_ = 0;
    int result_ = 0;
};

/// A fake discovery that answers each call for the whole list and never a watch; if `silent`, no call at all.
class SteadyDiscovery {
public:
    explicit SteadyDiscovery(std::vector<json> hosts)
        : text_(json{{"seq", 9}, {"whole", true}, {"hosts", hosts}}.dump()), acceptor_([this](Wire& wire) {
              for (HttpRequest request; wire.read(request);) {
                  if (silent || request.target().find("after=") != beast::string_view::npos) {
                      wire.ended();
                      return;
                  }
                  wire.respond(200, text_);
              }
          }) {}
    std::string at() const { return text_of(acceptor_.at); }
    std::atomic<bool> silent{false};

private:
    std::string text_;
    Acceptor acceptor_;
};

/// A free port on an address of this process's own, so that no other process can take it meanwhile.
inline tcp::endpoint free_port() {
    asio::io_context io;
    const auto pid = static_cast<std::uint32_t>(::getpid());
    const asio::ip::address_v4 own(0x7f400000u + (pid & 0x3fffff));  // 127.64.0.0 to 127.127.255.255
    return tcp::acceptor(io, {own, 0}).local_endpoint();
}

/// The response's status; 0 if there is none, as while the process starts or ends.
inline unsigned try_asking(const tcp::endpoint& at, const std::string& text) {
    try {
        App app(at);
        return app.ask(text).result_int();
    } catch (const boost::system::system_error&) {
        return 0;
    }
}

/// Waits until `done` holds; false if it does not in time.
template <class Done>
bool until(Done done) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

inline const std::string kHealth = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

/// A configured program with one endpoint, a discovery and an operators' endpoint.
struct Fixture {
    FakeServer server;
    SteadyDiscovery discovery{{host("s1", server.at())}};
    Place place;
    tcp::endpoint listen = free_port(), admin = free_port();
    json config;
    Fixture() {
        config = a_config(discovery.at(), {});
        config.erase("known");
        config["listen"] = text_of(listen);
        config["ochregrade"] = {{"admin", {{"listen", text_of(admin)}}},
                                {"state", {{"dir", place.state()}, {"lived_ms", 0}}}};
        place.write(config.dump());
    }
    std::unique_ptr<Process> start(std::vector<std::string> more = {}) {
        auto process = std::make_unique<Process>(place, std::move(more));
        const bool ready = until([&] { return !process->runs() || try_asking(listen, kHealth) == 200; });
        EXPECT_TRUE(ready && process->runs()) << place.log();
        return process;
    }
    int attempts() {
        return Operator(admin).get("/v1/config").at("config").at("settings").at("limits").at("max-attempts");
    }
    void wait_for_the_disk() {
        EXPECT_TRUE(
            until([&] { return Operator(admin).get("/v1/status").at("state").at("settled") == true; }));
    }
};

}  // namespace ochregrade::sidecar
