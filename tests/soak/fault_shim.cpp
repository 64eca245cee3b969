// Injects faults into the system calls of one test process (loaded with LD_PRELOAD). Environment:
// FAULT_SHIM_CONTROL: path of the file that sets which faults are injected and counts them (layout:
// fault_slots.hpp);
//                     the test changes it while the process runs. Without it nothing is injected.
// FAULT_SHIM_SEED:    seed of the random draws, which repeat for the same sequence of calls.
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <ctime>

#include "fault_slots.hpp"

namespace {

using namespace fault_shim;

// The control file's doubles; without a file, zeros that inject nothing.
double* control() {
    static double* const slots = [] {
        static double none[kSlots] = {};
        const char* path = std::getenv("FAULT_SHIM_CONTROL");
        const int fd = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
        if (fd < 0) return none;
        void* mapped = ::mmap(nullptr, sizeof none, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        ::close(fd);
        return mapped == MAP_FAILED ? none : static_cast<double*>(mapped);
    }();
    return slots;
}

// A random number of [0, 1): SplitMix64 (Steele, Lea and Flood, 2014), from any thread.
double draw() {
    static std::atomic<std::uint64_t> state{[] {
        const char* seed = std::getenv("FAULT_SHIM_SEED");
        return seed ? std::strtoull(seed, nullptr, 10) : 1ULL;
    }()};
    constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state.fetch_add(kIncrement) + kIncrement;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((mixed ^ (mixed >> 31)) >> 11) * 0x1.0p-53;
}

// Draws whether this call fails, and counts it if so.
bool inject(Slot fault) {
    const double probability = control()[fault];
    if (probability <= 0 || draw() >= probability) return false;
    control()[kInjected + fault] += 1;
    return true;
}

// Whether a descriptor is of a file type such as S_IFREG.
bool is_type(int fd, mode_t type) {
    struct stat status {};
    return ::fstat(fd, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

// The C library's function of this name.
template <class Function>
Function real(const char* name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}
#define REAL(name) static const auto next = real<decltype(&::name)>(#name)

// What a failing call returns.
int fail(int error) {
    errno = error;
    return -1;
}

// Whether the process opened this connection itself: accepted ones have an address of its own instead of
// 127.0.0.1.
bool is_outgoing(int fd) {
    sockaddr_in own{};
    socklen_t length = sizeof own;
    return ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &length) == 0 && own.sin_family == AF_INET &&
           own.sin_addr.s_addr == htonl(INADDR_LOOPBACK);
}

// Draws whether the network fails under a connection that the process opened, and shuts it down if so.
bool break_connection(int fd) {
    if (control()[kBrokenConnection] <= 0 || !is_outgoing(fd) || !inject(kBrokenConnection)) return false;
    ::shutdown(fd, SHUT_RDWR);
    return true;
}
int fail_broken() { return fail(draw() < 0.5 ? ETIMEDOUT : EHOSTUNREACH); }

// Sleeps for a random time of at most the setting.
void stall() {
    const double max_ms = control()[kStallMs];
    const auto nanoseconds = static_cast<long>(draw() * max_ms * 1e6);
    const timespec wait{nanoseconds / 1000000000L, nanoseconds % 1000000000L};
    ::nanosleep(&wait, nullptr);
}

// The message cut to its first byte, which `part` then refers to.
msghdr first_byte_of(const msghdr& message, iovec& part) {
    msghdr shorter = message;
    for (std::size_t i = 0; i < message.msg_iovlen; ++i) {
        if (message.msg_iov[i].iov_len == 0) continue;
        part = {message.msg_iov[i].iov_base, 1};
        shorter.msg_iov = &part;
        shorter.msg_iovlen = 1;
        break;
    }
    return shorter;
}

}  // namespace

extern "C" {

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    REAL(send);
    if (inject(kInterrupted)) return fail(EINTR);
    if (break_connection(fd)) return fail_broken();
    if (inject(kStallBeforeSend)) stall();
    return next(fd, bytes, size > 1 && inject(kShortWrite) ? 1 : size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    REAL(sendmsg);
    if (inject(kInterrupted)) return fail(EINTR);
    if (inject(kStallBeforeSend)) stall();
    if (!inject(kShortWrite)) return next(fd, message, flags);
    iovec part{};
    const msghdr shorter = first_byte_of(*message, part);
    return next(fd, &shorter, flags);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
    REAL(recv);
    if (inject(kInterrupted)) return fail(EINTR);
    if (break_connection(fd)) return fail_broken();
    return next(fd, bytes, size > 1 && inject(kShortRead) ? 1 : size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    REAL(recvmsg);
    if (inject(kInterrupted)) return fail(EINTR);
    if (!inject(kShortRead) || !is_type(fd, S_IFSOCK)) return next(fd, message, flags);
    iovec part{};
    msghdr shorter = first_byte_of(*message, part);
    return next(fd, &shorter, flags);
}

// ECONNABORTED: as if the first connection in the backlog had been reset by its client.
int accept(int fd, sockaddr* address, socklen_t* length) {
    REAL(accept);
    if (inject(kAcceptAborted)) return fail(ECONNABORTED);
    if (inject(kAcceptNoFile)) return fail(ENFILE);
    if (inject(kInterrupted)) return fail(EINTR);
    return next(fd, address, length);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
    REAL(epoll_wait);
    if (inject(kWaitInterrupted)) return fail(EINTR);
    return next(fd, events, max_events, timeout);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (inject(kSocketNoBuffers)) return fail(ENOBUFS);
    return next(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
    REAL(connect);
    if (inject(kConnectLocal)) return fail(draw() < 0.5 ? EADDRNOTAVAIL : ENETUNREACH);
    return next(fd, address, length);
}

int setsockopt(int fd, int level, int name, const void* value, socklen_t length) {
    REAL(setsockopt);
    const bool is_quick_ack = level == IPPROTO_TCP && name == TCP_QUICKACK;
    if (is_quick_ack && inject(kAcknowledgeFails)) return fail(ENOPROTOOPT);
    return next(fd, level, name, value, length);
}

ssize_t write(int fd, const void* bytes, size_t size) {
    REAL(write);
    if (fd <= 2 || !is_type(fd, S_IFREG)) return next(fd, bytes, size);
    if (inject(kInterrupted)) return fail(EINTR);
    if (size > 1 && inject(kShortWrite)) return next(fd, bytes, size / 2);
    if (inject(kDiskFull)) return fail(draw() < 0.5 ? ENOSPC : EIO);
    return next(fd, bytes, size);
}

int fsync(int fd) {
    REAL(fsync);
    if (inject(kSyncFails)) return fail(EIO);
    return next(fd);
}

int renameat(int old_folder, const char* old_path, int new_folder, const char* new_path) {
    REAL(renameat);
    if (inject(kDiskFull)) return fail(ENOSPC);
    return next(old_folder, old_path, new_folder, new_path);
}

// Adds the offset to the wall clock only.
int clock_gettime(clockid_t clock, timespec* time) noexcept {
    REAL(clock_gettime);
    const int result = next(clock, time);
    const double offset_ms = control()[kWallOffsetMs];
    if (result != 0 || clock != CLOCK_REALTIME || offset_ms == 0) return result;
    const auto whole_seconds = static_cast<long>(offset_ms / 1000);
    const double nanoseconds = static_cast<double>(time->tv_nsec) + (offset_ms - 1000 * whole_seconds) * 1e6;
    const auto carry = static_cast<long>(nanoseconds / 1e9) - (nanoseconds < 0 ? 1 : 0);
    time->tv_sec += whole_seconds + carry;
    time->tv_nsec = static_cast<long>(nanoseconds - static_cast<double>(carry) * 1e9);
    return result;
}

}  // extern "C"
