/// @file
/// Clocks, durations and waits of the lab. Experiments give times as floating-point seconds or milliseconds;
/// the lab waits on the steady clock.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace ochregrade::lab {

using Clock = std::chrono::steady_clock;

Clock::duration from_seconds(double seconds);
Clock::duration from_milliseconds(double milliseconds);
double to_seconds(Clock::duration duration);
double to_milliseconds(Clock::duration duration);

/// Now on the system clock, in Unix milliseconds, as logs and discovery give times.
double unix_ms_now();

/// Waits on the calling coroutine's executor.
boost::asio::awaitable<void> sleep_until(Clock::time_point time);

}  // namespace ochregrade::lab
