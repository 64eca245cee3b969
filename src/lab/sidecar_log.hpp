/// @file
/// Lines of a sidecar's log, and the figures that the lab reads from them. The texts are those that the
/// sidecar writes (src/process, src/fleet): a change of one there is a change here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace ochregrade::lab {

struct LogLine {
    double time_ms = 0;  ///< Unix
    std::string text;
};
/// Reads one JSON line; nothing where it is not a line of a sidecar's log.
std::optional<LogLine> parse_log_line(const std::string& json);

/// That the sidecar ejected a server from its pool.
struct EjectionLine {
    int server = 0;
    bool by_quorum = false;  ///< on other sidecars' evidence, not its own
};
std::optional<EjectionLine> parse_ejection(const std::string& text);

/// After how long a started sidecar had the fleet's shared state.
std::optional<double> parse_catch_up_ms(const std::string& text);

/// A version of the settings (epoch and digest) or of the endpoint list (generation and number).
struct Version {
    std::uint32_t major = 0;
    std::uint32_t minor = 0;
    bool operator==(const Version& other) const { return major == other.major && minor == other.minor; }
    bool operator<(const Version& other) const {
        return std::tie(major, minor) < std::tie(other.major, other.minor);
    }
};
/// The versions that a sidecar acts on from then on.
struct VersionsInUse {
    Version settings;
    Version list;
};
std::optional<VersionsInUse> parse_versions(const std::string& text);

/// Lines that the sidecar left out of its log because there were too many; 0 for other lines.
std::size_t parse_omitted_lines(const std::string& text);

}  // namespace ochregrade::lab
