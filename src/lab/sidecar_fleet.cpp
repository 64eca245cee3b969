#include "lab/fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>
#include <string_view>
#include <thread>

extern char** environ;

namespace ochregrade::lab {

namespace {
// A sidecar's folder is named as the sidecar is.
std::string home(int sidecar) { return std::to_string(sidecar).insert(0, 1, 'n'); }

constexpr std::streamoff kLogTail = 2000;  // bytes

// The end of a log; empty where it can't be read.
std::string tail_of(const std::filesystem::path& log) {
    std::ifstream file(log, std::ios::binary | std::ios::ate);
    if (!file) return "";
    const std::streamoff size = file.tellg();
    file.seekg(std::max<std::streamoff>(0, size - kLogTail));
    return {std::istreambuf_iterator<char>(file), {}};
}
}  // namespace

std::uint16_t free_port(const std::string& address, bool udp) {
    const int fd = ::socket(AF_INET, udp ? SOCK_DGRAM : SOCK_STREAM, 0);
    if (fd < 0) throw std::runtime_error("no socket for a port");
    sockaddr_in at{};
    at.sin_family = AF_INET;
    if (::inet_pton(AF_INET, address.c_str(), &at.sin_addr) != 1) {
        ::close(fd);
        throw std::runtime_error("not an IPv4 address: " + address);
    }
    socklen_t length = sizeof at;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length) != 0) {
        ::close(fd);
        throw std::runtime_error("no port from the kernel");
    }
    ::close(fd);
    return ntohs(at.sin_port);
}

Fleet::Fleet(std::string program, std::filesystem::path folder, std::vector<SidecarSpec> specs,
             MakeConfig config)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      specs_(std::move(specs)),
      config_(std::move(config)),
      state_(specs_.size()) {
    for (const SidecarSpec& spec : specs_) {
        std::filesystem::create_directories(folder_ / home(spec.index));
        std::filesystem::remove(log_path(spec.index));  // of an earlier run into the same folder
    }
}

Fleet::~Fleet() { stop_all(std::chrono::milliseconds(0)); }

std::filesystem::path Fleet::log_path(int sidecar) const { return folder_ / home(sidecar) / "log"; }

bool Fleet::rewrite(int sidecar) {
    const std::string config = (folder_ / home(sidecar) / "config.json").string();
    {
        std::ofstream file(config + ".new");
        file << config_(specs_[static_cast<std::size_t>(sidecar)],
                        state_[static_cast<std::size_t>(sidecar)].starts)
                    .dump();
        if (!file) return false;
    }
    std::filesystem::rename(config + ".new", config);
    return true;
}

bool Fleet::start(int sidecar) {
    State& state = state_[static_cast<std::size_t>(sidecar)];
    if (state.pid > 0) return true;
    if (!rewrite(sidecar)) return false;
    const std::string config = (folder_ / home(sidecar) / "config.json").string();
    const std::string log = log_path(sidecar).string();
    const std::string variable = "NODE_CONFIG=" + config;
    std::vector<char*> environment;
    for (char** entry = environ; *entry; ++entry)
        if (std::string_view(*entry).substr(0, 12) != "NODE_CONFIG=") environment.push_back(*entry);
    environment.push_back(const_cast<char*>(variable.c_str()));
    environment.push_back(nullptr);
    const pid_t parent = ::getpid();
    // vfork: a lab holding thousands of sockets would otherwise copy its page tables for every start, and
    // stall its clients for a second when hundreds start at once.
    const pid_t pid = ::vfork();
    if (pid < 0) return false;
    if (pid == 0) {
        // In the child only system calls: it shares the lab's memory until execve.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(127);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0) {
            ::dup2(fd, 1);
            ::dup2(fd, 2);
        }
        // None of the lab's sockets may live on in a sidecar: a listening one held there would keep a
        // stopped server's port open, and each counts against the sidecar's descriptors.
        ::close_range(3, ~0U, 0);
        char* const argv[] = {const_cast<char*>(program_.c_str()), nullptr};
        ::execve(program_.c_str(), argv, environment.data());
        ::_exit(127);
    }
    state.pid = pid;
    state.expected = false;
    ++state.starts;
    ++counts_.started;
    return true;
}

void Fleet::signal(int sidecar, int number) {
    const State& state = state_[static_cast<std::size_t>(sidecar)];
    if (state.pid > 0) ::kill(state.pid, number);
}

void Fleet::ended(int sidecar, int status) {
    State& state = state_[static_cast<std::size_t>(sidecar)];
    state.pid = -1;
    const bool ended_well = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!WIFEXITED(status)) {
        ++counts_.killed;
    } else {
        ++(ended_well ? counts_.exited_zero : counts_.exited_other);
    }
    if (ended_well || state.expected) return;
    ++counts_.crashed;
    crashes_.push_back({sidecar, status, tail_of(log_path(sidecar))});
}

void Fleet::reap() {
    for (int i = 0; i < size(); ++i) {
        const pid_t pid = state_[static_cast<std::size_t>(i)].pid;
        int status = 0;
        if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) ended(i, status);
    }
}

void Fleet::stop_all(std::chrono::milliseconds grace) {
    for (std::size_t i = 0; i < state_.size(); ++i)
        if (state_[i].pid > 0) {
            state_[i].expected = true;
            ::kill(state_[i].pid, SIGCONT);  // one that was stopped must be able to end
            ::kill(state_[i].pid, grace.count() > 0 ? SIGTERM : SIGKILL);
        }
    const auto until = std::chrono::steady_clock::now() + grace;
    for (;;) {
        reap();
        const bool any = std::any_of(state_.begin(), state_.end(), [](const State& s) { return s.pid > 0; });
        if (!any) return;
        if (std::chrono::steady_clock::now() >= until) break;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    for (int i = 0; i < size(); ++i) {
        const pid_t pid = state_[static_cast<std::size_t>(i)].pid;
        if (pid <= 0) continue;
        ::kill(pid, SIGKILL);
        int status = 0;
        if (::waitpid(pid, &status, 0) == pid) ended(i, status);
    }
}

}  // namespace ochregrade::lab
