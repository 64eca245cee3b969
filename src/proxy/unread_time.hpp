// Since when what is read now may have been waiting in the kernel, because nobody read it: the process stood
// still, or had no descriptor to accept with. A request's time runs from its arrival, which the kernel does
// not tell; this bounds it.
#pragma once

#include <algorithm>
#include <optional>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class UnreadTime {
public:
    // What waited has been read this long after reading went on.
    static constexpr Millis kCatchUp = 50;

    void blocked(Millis since) {
        if (!since_) since_ = since;
        resumed_.reset();
    }
    void resumed(Millis now) {
        if (since_ && !resumed_) resumed_ = now;
    }
    // How long something that is read now may have waited; 0 where nothing had to.
    Millis waited(Millis now) {
        if (resumed_ && now > *resumed_ + kCatchUp) since_.reset(), resumed_.reset();
        return since_ ? std::max(0.0, now - *since_) : 0;
    }

private:
    std::optional<Millis> since_, resumed_;
};

}  // namespace ochregrade::sidecar
