#include "process/config_reloader.hpp"

#include <nlohmann/json.hpp>

#include "common/log.hpp"

namespace ochregrade::sidecar {

namespace {

// A change of the file must take effect within 4 s of the signal. A file that can't be read or parsed is read
// up to kMaxAttempts times, which takes most of the 4 s.
constexpr int kMaxAttempts = 30;
constexpr std::chrono::milliseconds kRetryInterval{100};

}  // namespace

ConfigReloader::ConfigReloader(asio::io_context& io, ConfigManager& manager)
    : io_(io), manager_(manager), retry_timer_(io) {}

void ConfigReloader::reload() {
    if (posted_) return;
    posted_ = true;
    asio::post(io_, [this] {
        posted_ = false;
        read_file(kMaxAttempts);
    });
}

// A file that can't be parsed may be partly written. Perhaps no second signal follows once the file is
// complete, so the file is read again at intervals.
void ConfigReloader::read_file(int attempts_left) {
    retry_timer_.cancel();
    ConfigChange change;
    try {
        change = manager_.change(reload_document(), ConfigVersions::Source::file, false, {});
    } catch (const ConfigError& error) {
        if (attempts_left > 1) retry(attempts_left - 1);
        if (attempts_left < kMaxAttempts) return;  // the first failure has been logged and counted
        change.errors = error.errors;
        manager_.count_rejected();
    }
    if (change.result != ConfigChange::Result::rejected) return;
    for (const ValidationError& error : change.errors)
        log_line("configuration rejected, the current one stays in force: " + error.field + " " + error.what);
}

void ConfigReloader::retry(int attempts_left) {
    retry_timer_.expires_after(kRetryInterval);
    retry_timer_.async_wait([this, attempts_left](error_code ec) {
        if (!ec) read_file(attempts_left);
    });
}

}  // namespace ochregrade::sidecar
