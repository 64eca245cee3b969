#include "replication/broadcaster.hpp"

#include <algorithm>

namespace ochregrade::replication {

namespace {

// Delay of a broadcast (milliseconds). Records that are published during the delay are sent in the same
// datagram.
constexpr Millis kBatchDelay = 20;
constexpr double kMaxBurst = 3;  // broadcasts that a full budget admits at once

}  // namespace

Broadcaster::Broadcaster(const MemberTable& members, PendingUpdates& updates, DatagramSender& sender,
                         const Options& options)
    : members_(members),
      updates_(updates),
      sender_(sender),
      budget_(options.broadcasts_per_second / static_cast<double>(members.size()), kMaxBurst) {}

bool Broadcaster::admit(Millis now) {
    if (due_ != kNever) return true;
    if (!budget_.take(now)) return false;
    due_ = now + kBatchDelay;
    return true;
}

bool Broadcaster::add_evidence(Millis now, EndpointKey endpoint) {
    if (!admit(now)) return false;
    if (std::find(pending_evidence_.begin(), pending_evidence_.end(), endpoint) == pending_evidence_.end())
        pending_evidence_.push_back(endpoint);
    return true;
}

bool Broadcaster::add_versions(Millis now) {
    versions_pending_ = admit(now);
    return versions_pending_;
}

void Broadcaster::send(Millis now, std::vector<Outgoing>& out) {
    due_ = kNever;
    const MemberId self = members_.self();
    Datagram datagram = sender_.make(Kind::broadcast);
    if (versions_pending_)
        if (const auto item = members_.item(UpdateKey::versions(self))) datagram.add(*item);
    versions_pending_ = false;
    for (const EndpointKey endpoint : pending_evidence_) {
        const UpdateKey key = UpdateKey::evidence(self, endpoint);
        const auto item = members_.item(key);
        if (item && !datagram.add(*item)) updates_.add(now, key);
    }
    pending_evidence_.clear();
    if (!datagram.items.empty()) sender_.send_to_all(datagram, out);
}

}  // namespace ochregrade::replication
