/// @file
/// The configuration of one balancer instance, read from a START message: the settings, and the names of the
/// zones and request classes that the library refers to by integers.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ochregrade/balancer.hpp"
#include "simulator/message.hpp"

namespace ochregrade::wire {

struct InstanceConfig {
    Settings settings;
    std::vector<std::string> zones;    ///< names of the zones, indexed by ZoneId
    std::vector<std::string> classes;  ///< names of the request classes, indexed by class index

    /// Returns the zone's id. A new name gets the next number.
    ZoneId find_or_add_zone(std::string_view name);
};

/// Reads a START message. Unknown fields are ignored. Throws WireError for malformed and for missing required
/// fields. The values of the settings are validated by the constructor of Balancer.
InstanceConfig read_instance_config(const Message& start);

}  // namespace ochregrade::wire
