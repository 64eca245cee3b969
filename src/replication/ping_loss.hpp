// Estimates the share of this member's pings that stay unanswered, as an exponentially weighted average.
// Where many datagrams get lost, silence says less about a member, and updates are repeated more often. After
// the local health of Lifeguard (Dadgar, Phillips, Currey 2018).
#pragma once

#include <algorithm>

namespace ochregrade::replication {

class PingLoss {
public:
    /// Share of unanswered pings, 0 to 1.
    double share() const { return share_; }
    /// A ping is counted as unanswered until answered() takes that back.
    void sent() { share_ += (1 - share_) * kWeight; }
    void answered() { share_ = std::max(0.0, (share_ - kWeight) / (1 - kWeight)) * (1 - kWeight); }
    /// Returns to an earlier share: what was unanswered since then says nothing about the network.
    void restore(double share) { share_ = share; }

private:
    static constexpr double kWeight = 0.05;  // of each ping
    double share_ = 0.4;                     // until there is a measurement
};

}  // namespace ochregrade::replication
