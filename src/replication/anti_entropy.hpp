// Anti-entropy: each member periodically sends a digest to one other member, and the two members exchange the
// states that differ between their copies. The exchange has three steps:
//   1. digest: a hash for each range of members,
//   2. summary: a fingerprint for each member of the ranges whose hashes differ,
//   3. the states of the members whose fingerprints differ.
// Times are Unix milliseconds. Source: the hash trees of Dynamo (DeCandia et al. 2007), with two levels.
#pragma once

#include <array>
#include <vector>

#include "replication/datagram_sender.hpp"
#include "replication/token_bucket.hpp"

namespace ochregrade::replication {

class AntiEntropy {
public:
    AntiEntropy(const Options& options, const MemberTable& members, DatagramSender& sender, Random& random,
                ReplicaCounts& counts);

    void start(Millis now);
    void stop() { next_sync_ = kNever; }
    Millis due() const { return next_sync_; }
    void advance(Millis now, std::vector<Outgoing>& out);

    /// Adds this member's hash for each range of members to the datagram.
    void add_digest(Datagram& datagram) const;
    /// Hash of the state of all known members: equal at replicas that agree.
    std::uint32_t fingerprint() const;
    /// Whether the rate limit on replies admits one more datagram. A datagram that the limit does not admit
    /// is counted in ReplicaCounts::unanswered.
    bool admit_reply(Millis now);

    void reply_to_digest(Millis now, MemberId from, const Datagram& digest, std::vector<Outgoing>& out);
    void reply_to_summary(Millis now, MemberId from, const Datagram& summary, std::vector<Outgoing>& out);
    /// Replies to a member that is catching up. A subject other than 0 marks the last datagram of the reply.
    /// The reply may be incomplete, and without a last datagram, because the number and the rate of datagrams
    /// are limited.
    void reply_to_pull(Millis now, MemberId from, const Datagram& pull, std::vector<Outgoing>& out);

private:
    using RangeHashes = std::array<std::uint32_t, kDigestRanges>;

    std::size_t range_of(std::size_t member) const { return member * kDigestRanges / members_.size(); }
    RangeHashes range_hashes() const;
    std::vector<std::uint8_t> differing_ranges(const Datagram& digest) const;
    void send_digest(std::vector<Outgoing>& out);
    void send_states(Millis now, MemberId to, const std::vector<Item>& items, const Datagram& last,
                     std::vector<Outgoing>& out);
    void append_states(std::vector<Item>& items, const std::vector<MemberId>& members) const;

    const Options& options_;
    const MemberTable& members_;
    DatagramSender& sender_;
    Random& random_;
    ReplicaCounts& counts_;
    Millis next_sync_ = kNever;
    TokenBucket reply_budget_;
};

}  // namespace ochregrade::replication
