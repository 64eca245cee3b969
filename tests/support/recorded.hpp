// Access to the files under tests/recorded, whose bytes an earlier version of the program wrote. Tests
// compare the files with their own results, to check that this version still reads and writes the same bytes.
// If OCHREGRADE_RECORD=1 is set in the environment, the tests overwrite the files instead; this is only for
// intended changes of a format.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace ochregrade::recorded {

inline std::filesystem::path path_of(const std::string& name) {
    return std::filesystem::path(OCHREGRADE_RECORDED) / name;
}

inline bool recording() {
    const char* text = std::getenv("OCHREGRADE_RECORD");
    return text && std::string_view(text) == "1";
}

inline std::string read(const std::string& name) {
    std::ifstream file(path_of(name), std::ios::binary);
    EXPECT_TRUE(file) << name << " can't be read";
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

inline void write(const std::string& name, std::string_view bytes) {
    std::ofstream file(path_of(name), std::ios::binary);
    file << bytes;
    EXPECT_TRUE(file.flush()) << name << " can't be written";
}

// Checks that the file `name` contains exactly `bytes`. If recording(), writes `bytes` to the file first.
inline void expect_same(const std::string& name, std::string_view bytes) {
    if (recording()) write(name, bytes);
    EXPECT_EQ(read(name), bytes) << name;
}

inline std::string hex_of(std::span<const std::uint8_t> bytes) {
    std::string text;
    char digits[3];
    for (const std::uint8_t byte : bytes) {
        std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned>(byte));
        text += digits;
    }
    return text;
}

// Decodes a text of hex digits and white space. An odd last digit is ignored.
inline std::vector<std::uint8_t> bytes_of_hex(const std::string& text) {
    std::istringstream in(text);
    std::string digits, part;
    while (in >> part) digits += part;
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        bytes.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
    return bytes;
}

}  // namespace ochregrade::recorded
