// Reads the configuration file again after SIGHUP or when other members act on newer settings, and passes the
// document to the ConfigManager as a candidate.
#pragma once

#include <utility>

#include "common/http.hpp"
#include "process/config_manager.hpp"

namespace ochregrade::sidecar {

class ConfigReloader {
public:
    /// `manager` must outlive the ConfigReloader.
    ConfigReloader(asio::io_context& io, ConfigManager& manager);

    /// Reads the file in a later turn of the event loop. Further calls before that turn have no effect.
    void reload();

private:
    void read_file(int attempts_left);
    void retry(int attempts_left);

    asio::io_context& io_;
    ConfigManager& manager_;
    asio::steady_timer retry_timer_;
    bool posted_ = false;
};

}  // namespace ochregrade::sidecar
