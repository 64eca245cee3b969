// The log on standard error: one JSON object a line (spdlog), and bounded, since files and pipes count as
// memory and a failing neighbour must not fill them.
#pragma once

#include <poll.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace ochregrade::sidecar {

// {"t":"2026-12-01T20:56:21.123456Z","level":"info","name":"ochregrade","msg":"..."}; not registered with
// spdlog's registry, so that nothing else can reach or reconfigure it.
inline spdlog::logger& log_sink() {
    static const std::shared_ptr<spdlog::logger> logger = [] {
        auto made =
            std::make_shared<spdlog::logger>("ochregrade", std::make_shared<spdlog::sinks::stderr_sink_st>());
        made->set_pattern(R"({"t":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","name":"%n","msg":%v})",
                          spdlog::pattern_time_type::utc);
        made->flush_on(spdlog::level::trace);
        return made;
    }();
    return *logger;
}

// Whether a line can be written now without waiting for whoever reads the log. A pipe is writable where it
// has room for PIPE_BUF bytes, and no line is longer. Where the kernel can't tell, the line is written.
inline bool log_takes_a_line() {
    pollfd output{STDERR_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) != 0;
}

// Lines that the log does not take, or that are too many, are counted and left out: no request waits for a
// reader of the log.
inline void log_line(const std::string& text) {
    using Clock = std::chrono::steady_clock;
    constexpr double kBurst = 100, kPerSecond = 2;
    static double allowance = kBurst;
    static Clock::time_point last = Clock::now();
    static std::size_t dropped = 0;
    const Clock::time_point now = Clock::now();
    allowance = std::min(kBurst, allowance + kPerSecond * std::chrono::duration<double>(now - last).count());
    last = now;
    if (allowance < 1 || !log_takes_a_line()) {
        ++dropped;
        return;
    }
    allowance -= 1;
    if (dropped > 0) log_sink().warn("\"{} lines left out\"", dropped);
    dropped = 0;
    std::string line = text.substr(0, 200);
    std::replace_if(
        line.begin(), line.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    // A JSON string: quotes and backslashes from peers or files can't break the line's shape. Bytes that are
    // not UTF-8 are replaced, not refused.
    log_sink().info(nlohmann::json(line).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace ochregrade::sidecar
