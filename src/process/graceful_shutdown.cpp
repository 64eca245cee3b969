#include "process/graceful_shutdown.hpp"

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

// New connections arrive for a while after the signal.
constexpr std::chrono::milliseconds kAcceptFor{600};
// Idle ones are closed this much before the last are accepted: a client whose request crosses the close
// retries on a new connection.
constexpr std::chrono::milliseconds kRetryWindow{100};
constexpr std::chrono::milliseconds kPollInterval{10};
// After the longest deadline nothing can be pending any more; the kill is near.
constexpr Millis kLastMoment = 500;
// Requests that arrive late in the drain are answered this long before the last moment. However long the
// deadlines, the kill may come 0.7 s after the longest one or after kKillAfter.
constexpr Millis kAnswerTime = 50;
constexpr Millis kKillAfter = 3000;

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& io, const Clock& clock, Listener& listener,
                                   const BalancerDriver& driver)
    : clock_(clock), listener_(listener), driver_(driver), timer_(io) {}

void GracefulShutdown::start(std::function<void()> done) {
    done_ = std::move(done);
    const Millis longest_deadline = driver_.snapshot()->config.longest_deadline;
    end_at_ = clock_.now() + longest_deadline + kLastMoment;
    reject_incomplete_at_ = clock_.now() + std::min(longest_deadline, kKillAfter) + kLastMoment - kAnswerTime;
    listener_.drain(reject_incomplete_at_);
    timer_.expires_after(kAcceptFor - kRetryWindow);
    timer_.async_wait([this](error_code ec) {
        if (!ec) close_idle_before_end();
    });
}

void GracefulShutdown::close_idle_before_end() {
    listener_.close_idle();
    timer_.expires_after(kRetryWindow);
    timer_.async_wait([this](error_code ec) {
        if (!ec) finish_requests();
    });
}

void GracefulShutdown::finish_requests() {
    const bool all_accepted = listener_.stop_accepting();
    listener_.close_idle();
    if (clock_.now() >= reject_incomplete_at_) listener_.reject_incomplete();
    if (finished(all_accepted)) return done_();
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this](error_code ec) {
        if (!ec) finish_requests();
    });
}

// Requests that began under an older configuration may have longer deadlines than the one in force at the
// signal; each of them is waited for.
bool GracefulShutdown::finished(bool all_accepted) const {
    if (driver_.pending_requests() != 0) return false;
    return (all_accepted && !listener_.busy()) || clock_.now() >= end_at_;
}

}  // namespace ochregrade::sidecar
