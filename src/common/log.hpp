// The log on standard error, built on spdlog. Each line is one JSON object. The rate and the length of lines
// are bounded: what is written to a file or pipe may be charged to the process's memory limit, and a failing
// peer could otherwise cause any amount of output.
#pragma once

#include <spdlog/logger.h>

#include <memory>
#include <string>

namespace ochregrade::sidecar {

/// The logger that log_line() writes to. Its lines are
/// {"t":"2026-12-01T20:56:21.123456Z","level":"info","name":"ochregrade","msg":"..."}.
/// The logger is not in spdlog's registry, so that no other code can find or reconfigure it.
spdlog::logger& log_sink();

/// Writes one line at level info: at most 200 bytes of `text`, with control characters replaced by '?' and
/// other bytes escaped so that the line is valid JSON. The function never blocks: it drops a line that
/// standard error cannot accept at once or that exceeds the rate (a burst of 100 lines, then 2 lines a
/// second). The number of dropped lines is logged before the next line that is written. Not thread-safe.
void log_line(const std::string& text);

}  // namespace ochregrade::sidecar
