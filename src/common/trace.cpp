#include "common/trace.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdlib>
#include <memory>

#include "common/environment.hpp"
#include "common/log.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr std::size_t kMaxTraceBytes =
    64 << 20;  // 64 MiB; limits the memory used if the file is on a memory file system

template <class Clock>
double milliseconds() {
    return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

class TraceFile {
public:
    TraceFile() {
        const char* path = environment_variable("TRACE");
        if (!path || !*path) return;
        try {
            file_ = std::make_unique<spdlog::logger>(
                "trace", std::make_shared<spdlog::sinks::basic_file_sink_st>(path));
            file_->set_pattern("%v");
            file_->flush_on(spdlog::level::trace);
        } catch (const spdlog::spdlog_ex& error) {
            log_line(std::string("trace disabled: ") + error.what());
        }
    }
    bool open() const { return file_ && written_ < kMaxTraceBytes; }
    void write(const std::string& line) {
        written_ += line.size() + 1;
        file_->info(line);
        if (!open()) log_line("trace stopped: the file has reached its size limit");
    }

private:
    std::unique_ptr<spdlog::logger> file_;
    std::size_t written_ = 0;
};

TraceFile& trace_file() {
    static TraceFile file;
    return file;
}

}  // namespace

bool tracing() { return trace_file().open(); }

void trace_event(std::string_view event,
                 const std::vector<std::pair<std::string_view, nlohmann::json>>& fields) {
    nlohmann::json line = {{"t", milliseconds<std::chrono::system_clock>()},
                           {"mono", milliseconds<std::chrono::steady_clock>()},
                           {"event", event}};
    for (const auto& [name, value] : fields) line[std::string(name)] = value;
    trace_file().write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace ochregrade::sidecar
