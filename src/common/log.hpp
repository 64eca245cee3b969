// The log on standard error: one JSON object a line, bounded in rate and line length, since files and pipes
// count as memory and a failing peer must not fill them. Built on spdlog.
#pragma once

#include <spdlog/logger.h>

#include <memory>
#include <string>

namespace ochregrade::sidecar {

/// The logger behind log_line(). Its lines are
/// {"t":"2026-12-01T20:56:21.123456Z","level":"info","name":"ochregrade","msg":"..."}.
/// It is not in spdlog's registry, so nothing else can reach or reconfigure it.
spdlog::logger& log_sink();

/// Writes one line at level info: at most 200 bytes of `text`, control characters replaced by '?', other
/// bytes escaped so that the line stays valid JSON. Never blocks: a line that standard error cannot take at
/// once, or that exceeds the rate (a burst of 100, then 2 a second), is dropped, and the next line written
/// is preceded by the number of dropped ones. Not thread-safe.
void log_line(const std::string& text);

}  // namespace ochregrade::sidecar
