#include "replication/version_agreement.hpp"

#include <algorithm>

namespace ochregrade::replication {

namespace {
// After more than this many requests without success, the claimed version counts as forged. This version and
// newer ones are ignored for kIgnorePeriod (milliseconds), so that a forged claim does not hide a true claim
// of a lower version.
constexpr int kMaxFailedRequests = 4;
constexpr Millis kIgnorePeriod = 60000;
}  // namespace

void VersionFollower::observe(Millis now, const VersionId& own, std::span<const VersionId> claims) {
    if (ignored_from_ && now >= ignored_until_) ignored_from_.reset();
    std::optional<VersionId> newest;
    for (const VersionId& claim : claims)
        if (claim > own && !(ignored_from_ && claim >= *ignored_from_) && (!newest || claim > *newest))
            newest = claim;
    if (!newest) {
        claimed_.reset(), due_.reset();
        backoff_ = 0, failed_requests_ = 0;
        return;
    }
    // A changed claim does not change the schedule of requests, so that a forger cannot control the schedule.
    const bool was_behind = claimed_.has_value();
    claimed_ = newest;
    if (was_behind) return;
    backoff_ = pacing_.first_retry;
    due_ = now + pacing_.grace + pacing_.spread * random_.unit();
}

void VersionFollower::requested(Millis now) {
    if (!claimed_) return;
    ++calls_;
    if (++failed_requests_ > kMaxFailedRequests) {
        ++unfounded_;
        failed_requests_ = 0;
        ignored_from_ = claimed_, ignored_until_ = now + kIgnorePeriod;
    }
    due_ = now + backoff_ * (1 + 0.5 * random_.unit());
    backoff_ = std::min(pacing_.max_retry, backoff_ * 2);
}

VersionId settings_version(const Versions& v) { return {v.epoch, v.hash}; }
VersionId list_version(const Versions& v) { return {v.list_incarnation, v.list_seq}; }

}  // namespace ochregrade::replication
