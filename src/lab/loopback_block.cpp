#include "lab/loopback_block.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <stdexcept>
#include <system_error>

namespace ochregrade::lab {

namespace {

constexpr int kFirstBlock = 128, kLastBlock = 223;  // second byte of the address
constexpr std::uint16_t kLockPort = 20000;          // below the kernel's own range for free ports
constexpr int kAddressesPerRow = 250;

}  // namespace

LoopbackBlock::LoopbackBlock() {
    for (number_ = kFirstBlock; number_ <= kLastBlock; ++number_) {
        socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        if (socket_ < 0) throw std::system_error(errno, std::generic_category(), "socket");
        sockaddr_in lock{};
        lock.sin_family = AF_INET;
        lock.sin_port = htons(kLockPort);
        lock.sin_addr.s_addr = htonl((127u << 24) | (static_cast<std::uint32_t>(number_) << 16) | 1u);
        if (::bind(socket_, reinterpret_cast<sockaddr*>(&lock), sizeof lock) == 0) return;
        const int error = errno;
        ::close(socket_);
        if (error != EADDRINUSE) throw std::system_error(error, std::generic_category(), "bind");
    }
    throw std::runtime_error("every block of loopback addresses is in use by another run of the lab");
}

LoopbackBlock::~LoopbackBlock() { ::close(socket_); }

std::string LoopbackBlock::address(int index) const {
    return "127." + std::to_string(number_) + "." + std::to_string(1 + index / kAddressesPerRow) + "." +
           std::to_string(1 + index % kAddressesPerRow);
}

}  // namespace ochregrade::lab
