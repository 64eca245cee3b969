// What every module of the decision library is handed: the settings in force, the time of the event under
// way, the random source and the actions of that event. Milliseconds on the caller's clock.
//
// The order of random draws is part of the library's behaviour: same settings, seed and events give the same
// actions.
#pragma once

#include <utility>
#include <vector>

#include "common/random.hpp"
#include "ochregrade/actions.hpp"
#include "ochregrade/settings.hpp"

namespace ochregrade::detail {

struct Context {
    Context(SettingsPtr initial, std::uint64_t seed) : settings(std::move(initial)), random(seed) {}

    void act(Action action) { actions->push_back(std::move(action)); }

    /// In force now: our index among the sidecars, slow start, what may be sent to peers. What concerns a
    /// single request (classes, fees, attempts, permissions) is read from the settings that it began with.
    SettingsPtr settings;
    Random random;
    Millis now = 0;  ///< never goes back
    std::vector<Action>* actions = nullptr;
};

}  // namespace ochregrade::detail
