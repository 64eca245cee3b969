// Checks regularly whether the canary of a new version has passed or failed.
#pragma once

#include <functional>
#include <utility>

#include "common/clock.hpp"
#include "common/http.hpp"
#include "control/config_versions.hpp"

namespace ochregrade::sidecar {

class CanaryWatch {
public:
    struct Handlers {
        std::function<void()> passed;
        /// False: it could not be rolled back now and is to be tried once more.
        std::function<bool(const ConfigVersions::Rollback&)> failed;
    };
    /// `versions`, and what the handlers use, must outlive it.
    CanaryWatch(asio::io_context& io, const Clock& clock, ConfigVersions& versions, Handlers handlers);

    /// Watches the canary that is under way, if there is one. To be called after each commit.
    void watch();
    /// For good: the process ends, and the canary stays undecided.
    void stop();

private:
    void check();

    const Clock& clock_;
    ConfigVersions& versions_;
    Handlers handlers_;
    asio::steady_timer timer_;
    bool stopped_ = false;
};

}  // namespace ochregrade::sidecar
