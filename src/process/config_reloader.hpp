// Reads the configuration file when it is said to have changed (SIGHUP, or other members act on newer
// settings) and makes it a candidate.
#pragma once

#include <utility>

#include "common/http.hpp"
#include "process/config_manager.hpp"

namespace ochregrade::sidecar {

class ConfigReloader {
public:
    /// `manager` must outlive it.
    ConfigReloader(asio::io_context& io, ConfigManager& manager);

    /// Reads the file in a later turn of the loop. Calls until then count as one.
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
