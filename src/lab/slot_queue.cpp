#include "lab/slot_queue.hpp"

namespace ochregrade::lab {

std::optional<Clock::time_point> SlotQueue::submit(Clock::duration work, Clock::duration longest_wait) {
    const Clock::time_point now = Clock::now();
    const auto slot = std::min_element(free_at_.begin(), free_at_.end());
    const Clock::time_point begins = std::max(now, *slot);
    if (begins - now > longest_wait) return std::nullopt;
    *slot = begins + work;
    return *slot;
}

std::size_t SlotQueue::busy_slots(Clock::time_point time) const {
    const auto is_busy = [time](Clock::time_point free_at) { return free_at > time; };
    return static_cast<std::size_t>(std::count_if(free_at_.begin(), free_at_.end(), is_busy));
}

}  // namespace ochregrade::lab
