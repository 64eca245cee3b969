// Catch-up of a member that has just started or was paused: pulls the state of a few other members, and
// repeats the pull until enough members have replied or the limit of pulls is reached. Times are Unix
// milliseconds.
#pragma once

#include <vector>

#include "replication/anti_entropy.hpp"

namespace ochregrade::replication {

class CatchUp {
public:
    CatchUp(const Options& options, const MemberTable& members, const AntiEntropy& anti_entropy,
            DatagramSender& sender, Random& random)
        : options_(options),
          members_(members),
          anti_entropy_(anti_entropy),
          sender_(sender),
          random_(random) {}

    void start(Millis now, std::vector<Outgoing>& out);
    /// Starts over after a pause of this process, during which updates may have been missed.
    void restart(Millis now, std::vector<Outgoing>& out);
    /// Restarts a catch-up that ended at the limit of pulls; called when another member has sent a datagram.
    void resume(Millis now);
    void stop() { next_pull_ = kNever; }
    Millis due() const { return next_pull_; }
    void advance(Millis now, std::vector<Outgoing>& out);

    /// To be called when the last datagram of the member's reply to a pull has arrived.
    void answered(MemberId from);
    bool finished() const { return finished_; }

private:
    void pull(Millis now, std::vector<Outgoing>& out);

    const Options& options_;
    const MemberTable& members_;
    const AntiEntropy& anti_entropy_;
    DatagramSender& sender_;
    Random& random_;
    Millis next_pull_ = kNever;
    int pulls_ = 0;
    std::vector<MemberId> replied_;  // members whose reply is complete
    bool finished_ = false;
};

}  // namespace ochregrade::replication
