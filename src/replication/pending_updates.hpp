// Dissemination: the updates that this member attaches to outgoing datagrams. Updates that have been sent
// least often come first. Each update is sent a bounded number of times; the bound grows with the logarithm
// of the fleet size and with the share of lost pings. Times are Unix milliseconds. Source: SWIM's
// infection-style dissemination (Das, Gupta, Motivala 2002).
#pragma once

#include <map>

#include "replication/member_table.hpp"
#include "replication/ping_loss.hpp"

namespace ochregrade::replication {

class PendingUpdates {
public:
    PendingUpdates(const MemberTable& members, const PingLoss& ping_loss, const Options& options)
        : members_(members), ping_loss_(ping_loss), options_(options) {}

    /// Starts to disseminate the item. If the item is already pending, its count of transmissions restarts at
    /// 0. If kMaxUpdates other items are pending, the item is not added.
    void add(Millis now, const UpdateKey& key);
    void remove(const UpdateKey& key) { transmits_.erase(key); }
    bool empty() const { return transmits_.empty(); }
    /// Adds the pending updates that fit the datagram, except evidence and versions whose origin is the
    /// receiver, and counts the added ones as sent.
    void attach(Datagram& datagram, MemberId receiver);

    /// When the next gossip round is due; kNever if none is.
    Millis due() const { return next_round_; }
    void round_finished(Millis now);
    void stop() { next_round_ = kNever; }

private:
    int max_transmits() const;
    int transmit_limit(const Item& item, int max_transmits) const;

    const MemberTable& members_;
    const PingLoss& ping_loss_;
    const Options& options_;
    std::map<UpdateKey, int> transmits_;  // number of times that each update has been sent
    Millis next_round_ = kNever;
    Millis last_round_ = kLongAgo;
};

}  // namespace ochregrade::replication
