// Real sidecar processes: each with a configuration of its own in its own folder, started, signalled and
// reaped by pid. A child is bound to the lab's life (PR_SET_PDEATHSIG), so none outlives a lab that dies.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace ochregrade::lab {

struct SidecarSpec {
    int index = 0;
    std::string zone;
    std::string
        address;  // a loopback address of its own, so that no one else's ephemeral port takes its ports
    std::uint16_t listen = 0, peer_listen = 0;
};

class Fleet {
public:
    // `config` makes the configuration of one start of a sidecar (its number, its start counted from 0).
    using MakeConfig = std::function<nlohmann::json(const SidecarSpec&, int start)>;
    Fleet(std::string program, std::filesystem::path folder, std::vector<SidecarSpec> specs,
          MakeConfig config);
    ~Fleet();  // kills and reaps whatever still runs
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    bool start(int sidecar);               // false where the program could not be started
    bool rewrite(int sidecar);             // its file as it would be started with now
    void signal(int sidecar, int signal);  // to a running one only
    bool running(int sidecar) const { return state_[static_cast<std::size_t>(sidecar)].pid > 0; }
    void reap();  // collects every child that has ended, without waiting
    // SIGTERM to all, then SIGKILL to those still running after `grace`; returns when every child is reaped.
    void stop_all(std::chrono::milliseconds grace);

    const SidecarSpec& spec(int sidecar) const { return specs_[static_cast<std::size_t>(sidecar)]; }
    int size() const { return static_cast<int>(specs_.size()); }

    struct Counts {
        int started = 0, exited_zero = 0, exited_other = 0, killed = 0, crashed = 0;
    };
    const Counts& counts() const { return counts_; }
    // How a sidecar ended that nobody had told to end.
    struct Crash {
        int sidecar = 0;
        int wait_status = 0;   // as waitpid gives it
        std::string log_tail;  // the last lines that it wrote
    };
    const std::vector<Crash>& crashes() const { return crashes_; }
    // Exits that nobody asked for (neither a fault nor the end of the run): each is a crash of the sidecar.
    void expect_end(int sidecar) { state_[static_cast<std::size_t>(sidecar)].expected = true; }
    std::filesystem::path log_path(int sidecar) const;

private:
    struct State {
        pid_t pid = -1;
        int starts = 0;
        bool expected = false;
    };
    void ended(int sidecar, int status);

    std::string program_;
    std::filesystem::path folder_;
    std::vector<SidecarSpec> specs_;
    MakeConfig config_;
    std::vector<State> state_;
    Counts counts_;
    std::vector<Crash> crashes_;
};

// A TCP or UDP port on `address` (dotted IPv4) that the kernel has just handed out; the sidecar is told it
// before it binds.
std::uint16_t free_port(const std::string& address, bool udp);

}  // namespace ochregrade::lab
