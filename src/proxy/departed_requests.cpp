#include "proxy/departed_requests.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ochregrade::sidecar {

std::uint64_t DepartedRequests::hash_of(std::string_view id) const {
    return XXH3_64bits_withSeed(id.data(), id.size(), seed_);
}

void DepartedRequests::add(std::string_view id, Millis now) {
    remove_expired(now);
    const std::uint64_t hash = hash_of(id);
    if (!hashes_.insert(hash).second) return;
    entries_.push_back({hash, now});
    if (entries_.size() > kMaxIds) remove_oldest();
}

bool DepartedRequests::contains(std::string_view id, Millis now) {
    remove_expired(now);
    return hashes_.count(hash_of(id)) > 0;
}

void DepartedRequests::remove_expired(Millis now) {
    while (!entries_.empty() && now - entries_.front().added_at >= kRetention) remove_oldest();
}

void DepartedRequests::remove_oldest() {
    hashes_.erase(entries_.front().hash);
    entries_.pop_front();
}

}  // namespace ochregrade::sidecar
