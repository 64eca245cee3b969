// Catch-up of this member after a start or a pause of its process: requests from a few other members all
// state that they hold and this member lacks (a pull), and repeats the pull until enough members have replied
// or the maximum number of pulls has been sent. Times are Unix milliseconds.
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
    /// Starts the catch-up again after a pause of this process, because this member may have missed updates
    /// during the pause.
    void restart(Millis now, std::vector<Outgoing>& out);
    /// Resumes a catch-up that stopped at the maximum number of pulls. To be called when a datagram of
    /// another member has arrived.
    void resume(Millis now);
    void stop() { next_pull_ = kNever; }
    Millis due() const { return next_pull_; }
    void advance(Millis now, std::vector<Outgoing>& out);

    /// To be called when the last datagram of the member's reply to a pull has arrived. Has no effect while
    /// no pull is scheduled. Does not check whether earlier datagrams of the reply were lost.
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
    std::vector<MemberId> replied_;  // members whose last reply datagram has arrived
    bool finished_ = false;
};

}  // namespace ochregrade::replication
