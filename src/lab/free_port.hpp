/// @file
/// Ports for processes that bind them later.
#pragma once

#include <cstdint>
#include <string>

namespace ochregrade::lab {

enum class Transport { tcp, udp };

/// A port on `address` (dotted IPv4) that the kernel has just handed out and that nobody holds now. Throws
/// std::runtime_error where there is none.
std::uint16_t free_port(const std::string& address, Transport transport);

}  // namespace ochregrade::lab
