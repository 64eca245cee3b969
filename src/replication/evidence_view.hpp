// Sums the evidence of all other members that are not dead by endpoint, and asks origins to confirm evidence
// that other members have forwarded. After a change the sums are rebuilt, at most once per kRebuildPeriod.
// Times are Unix milliseconds.
//
// The sender of a datagram is known by its address, but the datagram may contain forged records of other
// origins. If at least kQuorum origins report failures of an endpoint, and fewer than kQuorum of their
// records came directly from their origins, this member requests the forwarded records from some of their
// origins.
#pragma once

#include <map>
#include <vector>

#include "replication/datagram_sender.hpp"

namespace ochregrade::replication {

class EvidenceView {
public:
    EvidenceView(const MemberTable& members, DatagramSender& sender, Random& random, ReplicaCounts& counts)
        : members_(members), sender_(sender), random_(random), counts_(counts) {}

    /// Schedules a rebuild, because evidence may have changed.
    void mark_outdated() { outdated_ = true; }
    /// Schedules a rebuild that increases the revision, because states or versions of members have changed.
    void mark_members_changed();
    void stop() { outdated_ = false; }

    Millis due() const;
    /// Rebuilds the sums if a rebuild is due, and sends requests for confirmation.
    void refresh(Millis now, std::vector<Outgoing>& out);

    /// Totals by endpoint over all other members that are not dead, as of the last rebuild.
    const std::vector<EndpointTotals>& totals() const { return totals_; }
    std::uint64_t revision() const { return revision_; }
    /// As of the last rebuild: the number of origins that report failures of the endpoint or have ejected it,
    /// and the number of these origins whose record came directly from the origin.
    std::uint32_t reporters(EndpointKey endpoint) const;
    std::uint32_t direct_reporters(EndpointKey endpoint) const;

private:
    struct Sum;
    struct Reporters {
        std::uint32_t all = 0;
        std::uint32_t direct = 0;
    };
    using IndirectReporters = std::map<EndpointKey, std::vector<MemberId>>;

    std::map<EndpointKey, Sum> sum_by_endpoint() const;
    void rebuild(Millis now, std::vector<Outgoing>& out);
    void request_confirmations(Millis now, const IndirectReporters& indirect, std::vector<Outgoing>& out);
    std::vector<MemberId> confirmation_order(const IndirectReporters& indirect);

    const MemberTable& members_;
    DatagramSender& sender_;
    Random& random_;
    ReplicaCounts& counts_;
    std::vector<EndpointTotals> totals_;
    std::map<EndpointKey, Reporters> reporters_;  // as of the last rebuild
    std::map<MemberId, Millis> requested_at_;     // when origins were asked to confirm; expires
    bool outdated_ = false;
    bool members_changed_ = false;
    Millis rebuilt_at_ = kLongAgo;
    std::uint64_t revision_ = 0;
};

}  // namespace ochregrade::replication
