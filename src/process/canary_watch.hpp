// Checks at regular intervals whether the canary of a new version of the configuration has passed or failed.
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
        std::function<void()> passed;  ///< called when the canary has passed
        /// Carries out the rollback. Returns false if the rollback failed; it is then retried.
        std::function<bool(const ConfigVersions::Rollback&)> failed;
    };
    /// `versions` and all objects that the handlers use must outlive the CanaryWatch.
    CanaryWatch(asio::io_context& io, const Clock& clock, ConfigVersions& versions, Handlers handlers);

    /// Starts to check the running canary, if there is one. Must be called after each commit.
    void watch();
    /// Stops checking permanently. Called when the process shuts down; a running canary stays undecided.
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
