/// @file
/// Real sidecar processes: each with a configuration of its own in its own folder, started, signalled and
/// reaped by pid. A child is bound to the lab's life (PR_SET_PDEATHSIG), so none outlives a lab that dies.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace ochregrade::lab {

/// What is fixed about one sidecar for the whole run.
struct SidecarSpec {
    int index = 0;
    std::string zone;
    std::string address;            ///< a loopback address of its own, so that nobody else takes its ports
    std::uint16_t listen = 0;       ///< port for requests (TCP)
    std::uint16_t peer_listen = 0;  ///< port for datagrams (UDP)
};

/// The sidecar's name, and that of its folder: n0, n1 and so on.
std::string sidecar_name(int index);

class SidecarFleet {
public:
    /// Makes the configuration of one start of a sidecar; `start` counts its starts from 0.
    using MakeConfig = std::function<nlohmann::json(const SidecarSpec&, int start)>;
    SidecarFleet(std::string program, std::filesystem::path folder, std::vector<SidecarSpec> specs,
                 MakeConfig make_config);
    ~SidecarFleet();  ///< kills and reaps whatever still runs
    SidecarFleet(const SidecarFleet&) = delete;
    SidecarFleet& operator=(const SidecarFleet&) = delete;

    /// Writes the configuration and starts the process, if it isn't running. False where it can't be started.
    bool start(int sidecar);
    /// Writes the configuration that it would be started with now; false where that failed.
    bool rewrite_config(int sidecar);
    /// Sends a signal, if it is running.
    void signal(int sidecar, int signal_number);
    bool running(int sidecar) const { return processes_[static_cast<std::size_t>(sidecar)].pid > 0; }
    /// Its next end is the lab's doing and no crash.
    void expect_end(int sidecar) { processes_[static_cast<std::size_t>(sidecar)].end_expected = true; }
    /// Collects every child that has ended, without waiting.
    void reap();
    /// SIGTERM to all, then SIGKILL to those still running after `grace`; returns when every child is reaped.
    void stop_all(std::chrono::milliseconds grace);

    int size() const { return static_cast<int>(specs_.size()); }
    std::filesystem::path log_path(int sidecar) const;

    struct Counts {
        int started = 0;
        int exited_zero = 0;
        int exited_other = 0;
        int killed = 0;
        int crashed = 0;
    };
    const Counts& counts() const { return counts_; }
    /// How a sidecar ended without a fault or the end of the run.
    struct Crash {
        int sidecar = 0;
        int wait_status = 0;   ///< as waitpid gives it
        std::string log_tail;  ///< the last lines that it wrote
    };
    const std::vector<Crash>& crashes() const { return crashes_; }

private:
    struct Process {
        pid_t pid = -1;  // -1: not running
        int starts = 0;
        bool end_expected = false;
    };
    std::filesystem::path config_path(int sidecar) const;
    pid_t spawn(int sidecar) const;
    void record_end(int sidecar, int wait_status);
    bool any_running() const;

    std::string program_;
    std::filesystem::path folder_;
    std::vector<SidecarSpec> specs_;
    MakeConfig make_config_;
    std::vector<Process> processes_;  // by sidecar
    Counts counts_;
    std::vector<Crash> crashes_;
};

}  // namespace ochregrade::lab
