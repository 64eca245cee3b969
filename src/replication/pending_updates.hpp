// Dissemination: updates waiting to be passed on. Each one is attached to outgoing datagrams a bounded number
// of times, the least often sent first. Source: SWIM's infection-style dissemination (Das, Gupta, Motivala
// 2002); the number of repeats grows with the logarithm of the fleet.
#pragma once

#include <map>

#include "replication/member_table.hpp"
#include "replication/ping_loss.hpp"

namespace ochregrade::replication {

class PendingUpdates {
public:
    PendingUpdates(const MemberTable& members, const PingLoss& ping_loss, const Options& options)
        : members_(members), ping_loss_(ping_loss), options_(options) {}

    /// Passes the item on from now, again if it was passed on before.
    void add(Millis now, const UpdateKey& key);
    void remove(const UpdateKey& key) { sent_.erase(key); }
    bool empty() const { return sent_.empty(); }
    /// Adds what fits in and is of use to the receiver.
    void attach(Datagram& datagram, MemberId receiver);

    /// When the next gossip round is due.
    Millis due() const { return next_round_; }
    void round_finished(Millis now);
    void stop() { next_round_ = kNever; }

private:
    int max_repeats() const;
    int repeats_of(const Item& item, int max_repeats) const;

    const MemberTable& members_;
    const PingLoss& ping_loss_;
    const Options& options_;
    std::map<UpdateKey, int> sent_;  // how often each has been sent
    Millis next_round_ = kNever;
    Millis last_round_ = kLongAgo;
};

}  // namespace ochregrade::replication
