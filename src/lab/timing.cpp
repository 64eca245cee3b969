#include "lab/timing.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ochregrade::lab {

namespace asio = boost::asio;
using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

Clock::duration from_seconds(double seconds) {
    return std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
}

Clock::duration from_milliseconds(double milliseconds) {
    return std::chrono::duration_cast<Clock::duration>(Milliseconds(milliseconds));
}

double to_seconds(Clock::duration duration) { return Seconds(duration).count(); }

double to_milliseconds(Clock::duration duration) { return Milliseconds(duration).count(); }

double unix_ms_now() { return Milliseconds(std::chrono::system_clock::now().time_since_epoch()).count(); }

asio::awaitable<void> sleep_until(Clock::time_point time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace ochregrade::lab
