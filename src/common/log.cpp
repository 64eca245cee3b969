#include "common/log.hpp"

#include <poll.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace ochregrade::sidecar {

namespace {

constexpr double kBurstLines = 100;
constexpr double kLinesPerSecond = 2;
constexpr std::size_t kMaxTextBytes = 200;

std::shared_ptr<spdlog::logger> make_logger() {
    auto logger =
        std::make_shared<spdlog::logger>("ochregrade", std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_pattern(R"({"t":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l","name":"%n","msg":%v})",
                        spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::trace);
    return logger;
}

// Whether a line can be written now without blocking on the log's reader. poll() reports a pipe as writable
// when PIPE_BUF bytes fit into it, and no line is longer than that. Also true if poll() fails.
bool is_writable() {
    pollfd output{STDERR_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) != 0;
}

// A token bucket in which each token permits one line.
class LineRateLimit {
public:
    /// Adds the tokens that have accrued since the last call. Returns whether the next line has a token.
    bool refill() {
        const Clock::time_point now = Clock::now();
        const double elapsed_s = std::chrono::duration<double>(now - last_refill_).count();
        tokens_ = std::min(kBurstLines, tokens_ + kLinesPerSecond * elapsed_s);
        last_refill_ = now;
        return tokens_ >= 1;
    }
    void take() { tokens_ -= 1; }

private:
    using Clock = std::chrono::steady_clock;
    double tokens_ = kBurstLines;
    Clock::time_point last_refill_ = Clock::now();
};

// Encodes the first kMaxTextBytes bytes of `text` as a JSON string, so that quotes and backslashes from peers
// or files cannot break the line's structure. Control characters become '?'; bytes that are not UTF-8 are
// replaced.
std::string to_json_string(const std::string& text) {
    std::string line = text.substr(0, kMaxTextBytes);
    std::replace_if(
        line.begin(), line.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return nlohmann::json(line).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

spdlog::logger& log_sink() {
    static const std::shared_ptr<spdlog::logger> logger = make_logger();
    return *logger;
}

void log_line(const std::string& text) {
    static LineRateLimit rate_limit;
    static std::size_t dropped_lines = 0;
    if (!rate_limit.refill() || !is_writable()) {
        ++dropped_lines;
        return;
    }
    rate_limit.take();
    if (dropped_lines > 0) log_sink().warn("\"{} lines left out\"", dropped_lines);
    dropped_lines = 0;
    log_sink().info(to_json_string(text));
}

}  // namespace ochregrade::sidecar
