/// @file
/// A work queue in virtual time: a fixed number of slots that each become free at some time. Work takes the
/// earliest free slot and is done when it has run there, so waiting costs no coroutine and no timer but the
/// request's own.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "lab/timing.hpp"

namespace ochregrade::lab {

class SlotQueue {
public:
    explicit SlotQueue(int slots)
        : free_at_(static_cast<std::size_t>(std::max(1, slots)), Clock::time_point{}) {}

    /// When work submitted now will be done; nothing, and no slot taken, if it would wait longer than
    /// `longest_wait` for one.
    std::optional<Clock::time_point> submit(Clock::duration work, Clock::duration longest_wait);

    /// Slots that are busy at `time`.
    std::size_t busy_slots(Clock::time_point time) const;

private:
    std::vector<Clock::time_point> free_at_;
};

}  // namespace ochregrade::lab
