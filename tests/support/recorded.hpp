// Files of bytes that an earlier version of the program wrote, under tests/recorded. A test that compares
// with them shows whether this version still writes and reads the same. With OCHREGRADE_RECORD=1 in the
// environment the files are written anew instead: only where a format is meant to change.
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

// The same bytes as in the file of that name.
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

// Of a file of hex digits and white space.
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
