// Estimates the share of this member's pings that get no ack, as an exponentially weighted average. At a high
// share a missing ack is weaker evidence of a failure, so probes send more pings; updates are sent more often
// too. Source: the local health of Lifeguard (Dadgar, Phillips, Currey 2018).
#pragma once

#include <algorithm>

namespace ochregrade::replication {

class PingLoss {
public:
    /// Share of pings without an ack, 0 to 1.
    double share() const { return share_; }
    /// Counts a ping as lost; answered() reverses that.
    void sent() { share_ += (1 - share_) * kWeight; }
    void answered() { share_ = std::max(0.0, (share_ - kWeight) / (1 - kWeight)) * (1 - kWeight); }
    /// Restores an earlier share, for pings to a failed member, which are no measure of network loss.
    void restore(double share) { share_ = share; }

private:
    static constexpr double kWeight = 0.05;  // weight of each ping in the average
    double share_ = 0.4;                     // initial estimate
};

}  // namespace ochregrade::replication
