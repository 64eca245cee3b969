/// @file
/// What a START message says about one balancer instance: its settings, and the names behind the integers
/// that the library uses for zones and request classes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ochregrade/balancer.hpp"
#include "simulator/message.hpp"

namespace ochregrade::wire {

struct InstanceConfig {
    Settings settings;
    std::vector<std::string> zones;    ///< by ZoneId
    std::vector<std::string> classes;  ///< by class index

    /// The zone's id; a name not met before gets the next number.
    ZoneId zone_id(std::string_view name);
};

/// Reads a START message. Fields it doesn't know are ignored; throws WireError for malformed ones. Whether
/// the settings make sense is the balancer's to check.
InstanceConfig read_instance_config(const Message& start);

}  // namespace ochregrade::wire
