#include "process/canary_watch.hpp"

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

// The interval between checks is a fiftieth of the canary's duration, within these bounds in ms.
constexpr double kChecksPerCanary = 50;
constexpr Millis kShortestInterval = 20;
constexpr Millis kLongestInterval = 500;

}  // namespace

CanaryWatch::CanaryWatch(asio::io_context& io, const Clock& clock, ConfigVersions& versions,
                         Handlers handlers)
    : clock_(clock), versions_(versions), handlers_(std::move(handlers)), timer_(io) {}

void CanaryWatch::stop() {
    stopped_ = true;
    timer_.cancel();
}

void CanaryWatch::watch() {
    timer_.cancel();
    if (!versions_.canary() || stopped_) return;
    const Millis interval =
        std::clamp(versions_.canary()->rule.duration / kChecksPerCanary, kShortestInterval, kLongestInterval);
    timer_.expires_at(clock_.point(clock_.now() + interval));
    timer_.async_wait([this](error_code ec) {
        if (!ec) check();
    });
}

void CanaryWatch::check() {
    const auto rollback = versions_.due(clock_.now());
    if (!versions_.canary()) handlers_.passed();
    // A successful rollback ends with a commit, and the commit has already called watch().
    if (rollback && handlers_.failed(*rollback)) return;
    watch();
}

}  // namespace ochregrade::sidecar
