#include "replication/version_agreement.hpp"

#include <algorithm>

namespace ochregrade::replication {

namespace {
// So many calls in vain, and the claim is held to be made up for a while: it must not hide a true one below
// it.
constexpr int kInVain = 4;
constexpr Millis kVoid = 60000;
}  // namespace

void VersionFollower::observe(Millis now, const VersionId& own, std::span<const VersionId> claims) {
    if (void_ && now >= void_until_) void_.reset();
    std::optional<VersionId> newest;
    for (const VersionId& claim : claims)
        if (claim > own && !(void_ && claim >= *void_) && (!newest || claim > *newest)) newest = claim;
    if (!newest) {
        claimed_.reset(), due_.reset();
        wait_ = 0, in_vain_ = 0;
        return;
    }
    // One claim after another is chased at the pace of the first: a liar must not set it.
    const bool was = claimed_.has_value();
    claimed_ = newest;
    if (was) return;
    wait_ = pace_.again;
    due_ = now + pace_.grace + pace_.spread * random_.unit();
}

void VersionFollower::requested(Millis now) {
    if (!claimed_) return;
    ++calls_;
    if (++in_vain_ > kInVain) {
        ++unfounded_;
        in_vain_ = 0;
        void_ = claimed_, void_until_ = now + kVoid;
    }
    due_ = now + wait_ * (1 + 0.5 * random_.unit());
    wait_ = std::min(pace_.longest, wait_ * 2);
}

VersionId settings_place(const Versions& v) { return {v.epoch, v.hash}; }
VersionId list_place(const Versions& v) { return {v.list_incarnation, v.list_seq}; }

}  // namespace ochregrade::replication
