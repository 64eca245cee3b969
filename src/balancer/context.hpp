// Context shared by the modules of the decision library: the settings in force, the random source, and the
// time (milliseconds on the caller's clock) and the actions of the current event.
//
// The order of random draws is part of the library's behaviour: the same settings, seed and events give the
// same actions.
#pragma once

#include <utility>
#include <vector>

#include "common/random.hpp"
#include "ochregrade/actions.hpp"
#include "ochregrade/settings.hpp"

namespace ochregrade::detail {

struct Context {
    Context(SettingsPtr initial, std::uint64_t seed) : settings(std::move(initial)), random(seed) {}

    void append_action(Action action) { actions->push_back(std::move(action)); }

    /// The settings in force now, for everything that does not concern a single request: sidecar index and
    /// count, slow start, messages to peers. Classes, fees, attempt limits and permissions of a request come
    /// from Request::settings, the settings under which the request arrived.
    SettingsPtr settings;
    Random random;
    Millis now = 0;  ///< time of the current event; never decreases
    std::vector<Action>* actions = nullptr;
};

}  // namespace ochregrade::detail
