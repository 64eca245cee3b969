#include "process/graceful_shutdown.hpp"

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

// New connections are accepted for this long after the signal, because clients still open some.
constexpr std::chrono::milliseconds kAcceptFor{600};
// Idle connections are closed this long before the listening socket, so that a client that sends a request
// just as its connection is closed can still retry on a new connection.
constexpr std::chrono::milliseconds kRetryWindow{100};
constexpr std::chrono::milliseconds kPollInterval{10};
// The process does not wait for open connections longer than this after the longest deadline of the
// configuration in force, counted from the signal. SIGKILL may follow 0.7 s after that deadline.
constexpr Millis kExitMargin = 500;
// Requests that arrive during the drain end at the latest this long before the process may exit, and requests
// that have arrived only in part are rejected then. If the longest deadline is over kKillAfter, kKillAfter
// counts in its place, because SIGKILL may follow 0.7 s after the shorter of the two.
constexpr Millis kResponseMargin = 50;
constexpr Millis kKillAfter = 3000;

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& io, const Clock& clock, Listener& listener,
                                   const BalancerDriver& driver)
    : clock_(clock), listener_(listener), driver_(driver), timer_(io) {}

void GracefulShutdown::start(std::function<void()> done) {
    done_ = std::move(done);
    const Millis longest_deadline = driver_.snapshot()->config.longest_deadline;
    end_at_ = clock_.now() + longest_deadline + kExitMargin;
    reject_incomplete_at_ =
        clock_.now() + std::min(longest_deadline, kKillAfter) + kExitMargin - kResponseMargin;
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

// The shutdown waits for each pending request, even beyond end_at_: a request that started under an older
// configuration may have a longer deadline than the configuration in force at the signal allows.
bool GracefulShutdown::finished(bool all_accepted) const {
    if (driver_.pending_requests() != 0) return false;
    return (all_accepted && !listener_.has_connections()) || clock_.now() >= end_at_;
}

}  // namespace ochregrade::sidecar
