// Estimates, as an exponentially weighted average, the share of this member's probe pings that get no
// datagram of the probed member in reply. If the share is high, a missing ack is weaker evidence of a
// failure, so probes send more pings; each update is also sent more often. Source: the local health of
// Lifeguard (Dadgar, Phillips, Currey 2018).
#pragma once

#include <algorithm>

namespace ochregrade::replication {

class PingLoss {
public:
    /// Estimated share of lost pings, 0 to 1.
    double share() const { return share_; }
    /// sent() counts a ping as lost. answered() counts the last ping as not lost instead.
    void sent() { share_ += (1 - share_) * kWeight; }
    void answered() { share_ = std::max(0.0, (share_ - kWeight) / (1 - kWeight)) * (1 - kWeight); }
    /// Restores the share from before a probe that failed: its pings do not count, because pings to a failed
    /// member are no measure of network loss.
    void restore(double share) { share_ = share; }

private:
    static constexpr double kWeight = 0.05;  // weight of each ping in the average
    double share_ = 0.4;                     // initial estimate
};

}  // namespace ochregrade::replication
