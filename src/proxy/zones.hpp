// Numeric ids for the names of zones, unchanged for the life of the process.
#pragma once

#include <string>
#include <unordered_map>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class Zones {
public:
    /// The zone's number; a name that has none gets the next one.
    ZoneId number(const std::string& name);

private:
    // A bound on memory, whatever discovery sends: further names share one number.
    static constexpr std::size_t kMaxZones = 1024;
    std::unordered_map<std::string, ZoneId> numbers_;
};

}  // namespace ochregrade::sidecar
