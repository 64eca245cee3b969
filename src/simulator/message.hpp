/// @file
/// Parses one line of the simulator's text protocol: `KIND name=value name=value ...`.
///
/// The input is a line without its line feed; the output is typed access to the fields. Every error is a
/// WireError that names line number, message kind and field. The parser does not interpret messages.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ochregrade::wire {

/// A line that can't be read; what() names line number, message and field.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The kind and the fields of one message. The object refers to the line's text, which must outlive it.
class Message {
public:
    /// Throws WireError for an empty line or a field that is not `name=value`.
    Message(std::string_view line, std::size_t line_number);

    std::string_view kind() const { return kind_; }
    bool has(std::string_view field) const { return find(field) != nullptr; }

    // These functions throw WireError if the field is malformed, or if it is missing and there is no
    // fallback.
    std::string_view text(std::string_view field) const;
    double number(std::string_view field) const;  ///< finite
    double number_or(std::string_view field, double fallback) const;
    std::uint64_t integer(std::string_view field) const;
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    bool flag_or(std::string_view field, bool fallback) const;      ///< `1`, `true`, `0` or `false`
    std::vector<std::uint8_t> bytes(std::string_view field) const;  ///< hex digits in pairs; `-` is empty

    /// Throws a WireError about `field` of this message.
    [[noreturn]] void fail(std::string_view field, std::string_view reason) const;

private:
    const std::string_view* find(std::string_view field) const;

    std::string_view kind_;
    std::size_t line_number_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

}  // namespace ochregrade::wire
