#include "proxy/zones.hpp"

namespace ochregrade::sidecar {

ZoneId Zones::id_of(const std::string& name) {
    const auto next = static_cast<ZoneId>(numbers_.size());
    if (numbers_.size() >= kMaxZones && numbers_.count(name) == 0) return next;
    return numbers_.try_emplace(name, next).first->second;
}

}  // namespace ochregrade::sidecar
