#include "lab/sidecar_fleet.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <string_view>
#include <thread>

extern char** environ;

namespace ochregrade::lab {

namespace {

constexpr std::string_view kConfigVariable = "NODE_CONFIG=";
constexpr std::streamoff kLogTail = 2000;  // bytes
constexpr int kNotStarted = 127;           // exit status of a child that could not become the sidecar
constexpr auto kReapInterval = std::chrono::milliseconds(10);

// The end of a log; empty where it can't be read.
std::string tail_of(const std::filesystem::path& log) {
    std::ifstream file(log, std::ios::binary | std::ios::ate);
    if (!file) return "";
    const std::streamoff size = file.tellg();
    file.seekg(std::max<std::streamoff>(0, size - kLogTail));
    return {std::istreambuf_iterator<char>(file), {}};
}

// The lab's environment with `config_entry` ("NODE_CONFIG=...") in place of its own, null at the end. Refers
// to both.
std::vector<char*> environment_with(std::string& config_entry) {
    std::vector<char*> environment;
    for (char** entry = environ; *entry != nullptr; ++entry)
        if (std::string_view(*entry).substr(0, kConfigVariable.size()) != kConfigVariable)
            environment.push_back(*entry);
    environment.push_back(config_entry.data());
    environment.push_back(nullptr);
    return environment;
}

// In the child after vfork: only system calls, since it shares the lab's memory until execve.
[[noreturn]] void become_sidecar(pid_t parent, const char* program, const char* log,
                                 char* const* environment) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kNotStarted);
    const int log_descriptor = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (log_descriptor >= 0) {
        ::dup2(log_descriptor, STDOUT_FILENO);
        ::dup2(log_descriptor, STDERR_FILENO);
    }
    // None of the lab's sockets may live on in a sidecar: a listening one would keep a stopped server's port
    // open, and each counts against the sidecar's descriptors.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    char* const arguments[] = {const_cast<char*>(program), nullptr};
    ::execve(program, arguments, environment);
    ::_exit(kNotStarted);
}

}  // namespace

std::string sidecar_name(int index) { return std::to_string(index).insert(0, 1, 'n'); }

SidecarFleet::SidecarFleet(std::string program, std::filesystem::path folder, std::vector<SidecarSpec> specs,
                           MakeConfig make_config)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      specs_(std::move(specs)),
      make_config_(std::move(make_config)),
      processes_(specs_.size()) {
    for (const SidecarSpec& spec : specs_) {
        std::filesystem::create_directories(folder_ / sidecar_name(spec.index));
        std::filesystem::remove(log_path(spec.index));  // of an earlier run into the same folder
    }
}

SidecarFleet::~SidecarFleet() { stop_all(std::chrono::milliseconds(0)); }

std::filesystem::path SidecarFleet::log_path(int sidecar) const {
    return folder_ / sidecar_name(sidecar) / "log";
}

std::filesystem::path SidecarFleet::config_path(int sidecar) const {
    return folder_ / sidecar_name(sidecar) / "config.json";
}

bool SidecarFleet::rewrite_config(int sidecar) {
    const auto index = static_cast<std::size_t>(sidecar);
    const std::filesystem::path path = config_path(sidecar);
    const std::filesystem::path new_path = path.string() + ".new";
    {
        std::ofstream file(new_path);
        file << make_config_(specs_[index], processes_[index].starts).dump();
        if (!file) return false;
    }
    std::filesystem::rename(new_path, path);
    return true;
}

bool SidecarFleet::start(int sidecar) {
    Process& process = processes_[static_cast<std::size_t>(sidecar)];
    if (process.pid > 0) return true;
    if (!rewrite_config(sidecar)) return false;
    const pid_t pid = spawn(sidecar);
    if (pid < 0) return false;
    process.pid = pid;
    process.end_expected = false;
    ++process.starts;
    ++counts_.started;
    return true;
}

pid_t SidecarFleet::spawn(int sidecar) const {
    const std::string log = log_path(sidecar).string();
    std::string config_entry = std::string(kConfigVariable) + config_path(sidecar).string();
    const std::vector<char*> environment = environment_with(config_entry);
    const pid_t parent = ::getpid();
    // vfork: a lab with thousands of sockets would otherwise copy its page tables for every start, and stall
    // its clients for a second when hundreds start at once.
    const pid_t pid = ::vfork();
    if (pid == 0) become_sidecar(parent, program_.c_str(), log.c_str(), environment.data());
    return pid;
}

void SidecarFleet::signal(int sidecar, int signal_number) {
    const Process& process = processes_[static_cast<std::size_t>(sidecar)];
    if (process.pid > 0) ::kill(process.pid, signal_number);
}

void SidecarFleet::record_end(int sidecar, int wait_status) {
    Process& process = processes_[static_cast<std::size_t>(sidecar)];
    process.pid = -1;
    const bool exited_zero = WIFEXITED(wait_status) && WEXITSTATUS(wait_status) == 0;
    if (!WIFEXITED(wait_status)) {
        ++counts_.killed;
    } else {
        ++(exited_zero ? counts_.exited_zero : counts_.exited_other);
    }
    if (exited_zero || process.end_expected) return;
    ++counts_.crashed;
    crashes_.push_back({sidecar, wait_status, tail_of(log_path(sidecar))});
}

void SidecarFleet::reap() {
    for (int i = 0; i < size(); ++i) {
        const pid_t pid = processes_[static_cast<std::size_t>(i)].pid;
        int wait_status = 0;
        if (pid > 0 && ::waitpid(pid, &wait_status, WNOHANG) == pid) record_end(i, wait_status);
    }
}

bool SidecarFleet::any_running() const {
    return std::any_of(processes_.begin(), processes_.end(),
                       [](const Process& process) { return process.pid > 0; });
}

void SidecarFleet::stop_all(std::chrono::milliseconds grace) {
    for (Process& process : processes_) {
        if (process.pid <= 0) continue;
        process.end_expected = true;
        ::kill(process.pid, SIGCONT);  // one that was stopped must be able to end
        ::kill(process.pid, grace.count() > 0 ? SIGTERM : SIGKILL);
    }
    const auto latest = std::chrono::steady_clock::now() + grace;
    for (;;) {
        reap();
        if (!any_running()) return;
        if (std::chrono::steady_clock::now() >= latest) break;
        std::this_thread::sleep_for(kReapInterval);
    }
    for (int i = 0; i < size(); ++i) {
        const pid_t pid = processes_[static_cast<std::size_t>(i)].pid;
        if (pid <= 0) continue;
        ::kill(pid, SIGKILL);
        int wait_status = 0;
        if (::waitpid(pid, &wait_status, 0) == pid) record_end(i, wait_status);
    }
}

}  // namespace ochregrade::lab
