#include "control/config.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "replication/records.hpp"

namespace ochregrade::sidecar {

namespace {

constexpr double kHashRange = 4294967296.0;  // 2^32, the number of values of a 32-bit hash

}  // namespace

bool Config::in_rollout() const {
    const std::uint32_t key[] = {settings.sidecar_index, epoch};
    return rollout_share >= 1 || XXH32(key, sizeof key, 0) < rollout_share * kHashRange;
}

bool Config::joins_replication() const {
    return replication.enabled && settings.gossip_allowed && peer_listen && settings.sidecar_count > 1 &&
           settings.sidecar_count <= ochregrade::replication::kMaxMembers &&
           settings.sidecar_index < settings.sidecar_count && peers.size() >= settings.sidecar_count;
}

std::size_t Config::class_index(std::string_view class_name) const {
    return static_cast<std::size_t>(std::find(classes.begin(), classes.end(), class_name) - classes.begin());
}

}  // namespace ochregrade::sidecar
