#include "lab/correlation_id.hpp"

#include <cinttypes>
#include <cstdio>

namespace ochregrade::lab {

namespace {

constexpr std::size_t kDigits = 16;
constexpr int kSerialBits = 44;

// The value of a lower-case hex digit, -1 for another character.
int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    return -1;
}

}  // namespace

std::string correlation_id(int sidecar, std::uint64_t serial) {
    const std::uint64_t serial_mask = (std::uint64_t{1} << kSerialBits) - 1;
    const std::uint64_t value = (static_cast<std::uint64_t>(sidecar) << kSerialBits) | (serial & serial_mask);
    char text[kDigits + 1];
    std::snprintf(text, sizeof text, "%016" PRIx64, value);
    return text;
}

int sidecar_of(const std::string& correlation_id) {
    if (correlation_id.size() != kDigits) return -1;
    std::uint64_t value = 0;
    for (const char c : correlation_id) {
        const int digit = hex_digit(c);
        if (digit < 0) return -1;
        value = value * 16 + static_cast<std::uint64_t>(digit);
    }
    return static_cast<int>(value >> kSerialBits);
}

}  // namespace ochregrade::lab
