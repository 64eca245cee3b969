#include "lab/sidecar_log.hpp"

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string_view>

namespace ochregrade::lab {

namespace {

using nlohmann::json;

constexpr std::string_view kServerPrefix = "s-";  // as the lab names its servers
constexpr std::string_view kEjected = " ejected from the pool";
constexpr std::string_view kByQuorum = "on the evidence of";
constexpr std::string_view kCaughtUp = "caught up with the fleet after ";
constexpr std::string_view kOmitted = "lines left out";

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

// "2026-12-01T20:56:21.123456Z" in Unix ms.
std::optional<double> parse_unix_ms(const std::string& text) {
    constexpr int kFields = 6;
    std::tm tm{};
    double seconds = 0;
    const int fields = std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%lfZ", &tm.tm_year, &tm.tm_mon, &tm.tm_mday,
                                   &tm.tm_hour, &tm.tm_min, &seconds);
    if (fields != kFields) return {};
    tm.tm_year -= 1900;
    tm.tm_mon -= 1;
    return static_cast<double>(timegm(&tm)) * 1000 + seconds * 1000;
}

// The number of the server whose name the text begins with.
std::optional<int> parse_server(std::string_view text) {
    if (text.substr(0, kServerPrefix.size()) != kServerPrefix) return {};
    int number = 0;
    const char* first = text.data() + kServerPrefix.size();
    const auto [end, error] = std::from_chars(first, text.data() + text.size(), number);
    return error == std::errc() ? std::optional(number) : std::nullopt;
}

}  // namespace

std::optional<LogLine> parse_log_line(const std::string& text) {
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("t") || !line.contains("msg")) return {};
    if (!line["t"].is_string() || !line["msg"].is_string()) return {};
    const auto time_ms = parse_unix_ms(line["t"]);
    return time_ms ? std::optional(LogLine{*time_ms, line["msg"]}) : std::nullopt;
}

std::optional<EjectionLine> parse_ejection(const std::string& text) {
    const std::optional<int> server = parse_server(text);
    if (!server || !contains(text, kEjected)) return {};
    return EjectionLine{*server, contains(text, kByQuorum)};
}

std::optional<double> parse_catch_up_ms(const std::string& text) {
    if (text.rfind(kCaughtUp, 0) != 0) return {};
    return std::atof(text.c_str() + kCaughtUp.size());
}

std::optional<VersionsInUse> parse_versions(const std::string& text) {
    constexpr int kFields = 4;
    VersionsInUse versions;
    const int fields =
        std::sscanf(text.c_str(), "acts on settings %u.%x list %u.%u", &versions.settings.major,
                    &versions.settings.minor, &versions.list.major, &versions.list.minor);
    return fields == kFields ? std::optional(versions) : std::nullopt;
}

std::size_t parse_omitted_lines(const std::string& text) {
    return contains(text, kOmitted) ? static_cast<std::size_t>(std::atol(text.c_str())) : 0;
}

}  // namespace ochregrade::lab
