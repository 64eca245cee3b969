#include "replication/catch_up.hpp"

#include <algorithm>

namespace ochregrade::replication {

namespace {

constexpr std::size_t kPulledMembers = 3;  // members to which one pull is sent, at most
constexpr std::size_t kRepliesNeeded = 2;  // from different members; 1 in a fleet of two
constexpr Millis kRetryInterval = 250;     // milliseconds between pulls, plus a random 0 to 50 %
constexpr int kMaxPulls = 12;              // after a start, a restart or a resumption

}  // namespace

void CatchUp::start(Millis now, std::vector<Outgoing>& out) {
    if (members_.size() == 1 || !options_.repair) {
        finished_ = true;
        return;
    }
    pull(now, out);
}

void CatchUp::restart(Millis now, std::vector<Outgoing>& out) {
    if (!options_.repair) return;
    pulls_ = 0;
    finished_ = members_.size() == 1;
    replied_.clear();
    pull(now, out);
}

void CatchUp::resume(Millis now) {
    if (finished_ || next_pull_ != kNever || !options_.repair) return;
    pulls_ = 0;
    next_pull_ = now;
}

void CatchUp::advance(Millis now, std::vector<Outgoing>& out) {
    if (now >= next_pull_) pull(now, out);
}

void CatchUp::answered(MemberId from) {
    if (next_pull_ == kNever) return;
    if (std::find(replied_.begin(), replied_.end(), from) != replied_.end()) return;
    replied_.push_back(from);
    if (replied_.size() < std::min(kRepliesNeeded, members_.size() - 1)) return;
    finished_ = true;
    next_pull_ = kNever;
}

void CatchUp::pull(Millis now, std::vector<Outgoing>& out) {
    if (finished_ || pulls_ >= kMaxPulls) {
        next_pull_ = kNever;
        return;
    }
    ++pulls_;
    next_pull_ = now + kRetryInterval * (1 + 0.5 * random_.unit());
    const auto pulled = members_.random_others(random_, kPulledMembers, MemberTable::Preference::alive_first);
    for (const MemberId to : pulled) {
        Datagram datagram = sender_.make(Kind::pull);
        datagram.token = sender_.next_token();
        // The reply has the same token, and token 0 would mark it as no reply.
        if (datagram.token == 0) datagram.token = sender_.next_token();
        anti_entropy_.add_digest(datagram);
        sender_.send(to, std::move(datagram), out, DatagramSender::Updates::none);
    }
}

}  // namespace ochregrade::replication
