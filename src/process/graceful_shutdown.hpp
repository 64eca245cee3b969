// Graceful shutdown (docs/ENDINGS.md). New connections are accepted for a short time after the signal,
// because clients are notified of the shutdown late. The shutdown then waits for the requests in flight, each
// of which ends at its own deadline at the latest.
#pragma once

#include <functional>
#include <utility>

#include "common/clock.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/listener.hpp"

namespace ochregrade::sidecar {

class GracefulShutdown {
public:
    /// All arguments must outlive the GracefulShutdown.
    GracefulShutdown(asio::io_context& io, const Clock& clock, Listener& listener,
                     const BalancerDriver& driver);

    /// Starts the shutdown; must be called only once. `done` is called when no request is pending and either
    /// all connections are closed or 0.5 s have passed since the longest deadline, counted from this call.
    /// `done` is not called in the first 0.6 s, while new connections are accepted.
    void start(std::function<void()> done);
    bool started() const { return static_cast<bool>(done_); }

private:
    void close_idle_before_end();
    void finish_requests();
    bool finished(bool all_accepted) const;

    const Clock& clock_;
    Listener& listener_;
    const BalancerDriver& driver_;
    asio::steady_timer timer_;
    std::function<void()> done_;
    Millis reject_incomplete_at_ = 0;
    Millis end_at_ = 0;
};

}  // namespace ochregrade::sidecar
