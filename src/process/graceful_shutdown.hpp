// A planned stop (docs/ENDINGS.md): connections are accepted for a while longer, since clients learn of the
// stop late; then requests in flight end, each at its own deadline at the latest.
#pragma once

#include <functional>
#include <utility>

#include "common/clock.hpp"
#include "proxy/balancer_driver.hpp"
#include "proxy/listener.hpp"

namespace ochregrade::sidecar {

class GracefulShutdown {
public:
    /// The parts must outlive it.
    GracefulShutdown(asio::io_context& io, const Clock& clock, Listener& listener,
                     const BalancerDriver& driver);

    /// To be called once. `done` is called when no request is unanswered, or at the latest when all deadlines
    /// have passed and nothing is pending.
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
