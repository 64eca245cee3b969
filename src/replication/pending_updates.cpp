#include "replication/pending_updates.hpp"

#include <algorithm>
#include <cmath>

namespace ochregrade::replication {

namespace {

constexpr std::size_t kMaxUpdates = 4096;
constexpr std::size_t kMaxItemsPerDatagram = kMaxDatagramBytes / 15;  // upper bound of the updates that fit
// Evidence and the state of a newly started member are sent only this share of the usual number of times, but
// at least kMinReducedTransmits times, because several members report the same and anti-entropy transfers
// what is missing.
constexpr double kReducedShare = 0.4;
constexpr int kMinReducedTransmits = 2;
// Minimum of the usual number of times. The logarithm of the size of a small fleet gives too few, because a
// small fleet loses the same share of datagrams as a large one.
constexpr int kMinTransmits = 4;
constexpr double kMaxLoss = 0.9;  // upper bound of the share of lost pings in the number of times

}  // namespace

void PendingUpdates::add(Millis now, const UpdateKey& key) {
    // An item beyond the limit is not disseminated: anti-entropy transfers it.
    if (transmits_.size() >= kMaxUpdates && !transmits_.count(key)) return;
    transmits_[key] = 0;
    if (next_round_ == kNever) next_round_ = std::max(now, last_round_ + options_.gossip_period);
}

int PendingUpdates::max_transmits() const {
    const double times = options_.transmit_multiplier * std::log10(static_cast<double>(members_.size()) + 1);
    // A ping counts as lost if the ping or its ack is lost, but an update travels in one direction only. The
    // probability of delivery in one direction is the square root of the probability in both.
    const double delivered = std::sqrt(1 - std::min(kMaxLoss, ping_loss_.share()));
    return std::max(kMinTransmits, static_cast<int>(std::ceil(times / delivered)));
}

int PendingUpdates::transmit_limit(const Item& item, int max_transmits) const {
    const auto* member = std::get_if<MemberItem>(&item);
    const bool started = member && member->state.status == Status::alive && member->state.incarnation == 0;
    if (!started && !std::holds_alternative<EvidenceItem>(item)) return max_transmits;
    return std::max(kMinReducedTransmits, static_cast<int>(std::ceil(kReducedShare * max_transmits)));
}

void PendingUpdates::attach(Datagram& datagram, MemberId receiver) {
    if (transmits_.empty()) return;
    std::vector<std::map<UpdateKey, int>::iterator> order;
    order.reserve(transmits_.size());
    for (auto update = transmits_.begin(); update != transmits_.end(); ++update)
        if (update->first.origin != receiver || update->first.subject == UpdateKey::Subject::member)
            order.push_back(update);
    const std::size_t candidates = std::min<std::size_t>(order.size(), kMaxItemsPerDatagram);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(candidates), order.end(),
                      [](const auto& a, const auto& b) { return a->second < b->second; });
    const int limit = max_transmits();
    for (std::size_t i = 0; i < candidates; ++i) {
        const auto item = members_.item(order[i]->first);
        if (item && !datagram.add(*item)) continue;
        if (!item || ++order[i]->second >= transmit_limit(*item, limit)) transmits_.erase(order[i]);
    }
}

void PendingUpdates::round_finished(Millis now) {
    last_round_ = now;
    next_round_ = transmits_.empty() ? kNever : now + options_.gossip_period;
}

}  // namespace ochregrade::replication
