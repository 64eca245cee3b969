// Numeric ids for the names of zones; an id stays the same during a run.
#pragma once

#include <string>
#include <unordered_map>

#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

class Zones {
public:
    /// The zone's id; a new name gets the next free id.
    ZoneId id_of(const std::string& name);

private:
    // Bounds the memory used, whatever names discovery sends: names beyond this number share one id.
    static constexpr std::size_t kMaxZones = 1024;
    std::unordered_map<std::string, ZoneId> numbers_;
};

}  // namespace ochregrade::sidecar
