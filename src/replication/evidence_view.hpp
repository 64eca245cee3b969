// The evidence of all other members summed by endpoint, rebuilt at bounded intervals while it changes, and
// the confirmation of indirect evidence by its origins.
//
// A datagram's sender is known by its address, but what it says about other origins may be forged. So where
// enough origins are said to report an endpoint and too few have said so themselves, some are asked directly.
#pragma once

#include <map>
#include <vector>

#include "replication/datagram_sender.hpp"

namespace ochregrade::replication {

class EvidenceView {
public:
    EvidenceView(const MemberTable& members, DatagramSender& sender, Random& random, ReplicaCounts& counts)
        : members_(members), sender_(sender), random_(random), counts_(counts) {}

    /// Evidence may have changed: the view is rebuilt.
    void mark_outdated() { outdated_ = true; }
    /// Members or versions have changed: the revision grows too.
    void mark_members_changed();
    void stop() { outdated_ = false; }

    Millis due() const;
    /// Rebuilds the view if that is due.
    void refresh(Millis now, std::vector<Outgoing>& out);

    /// By endpoint, of members that are not dead, without this one; as of the last rebuild.
    const std::vector<EndpointTotals>& totals() const { return totals_; }
    std::uint64_t revision() const { return revision_; }
    /// Origins that report failures of the endpoint or ejected it, and those of them heard firsthand.
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
    std::map<EndpointKey, Reporters> reporters_;  // as of the view
    std::map<MemberId, Millis> asked_;            // for confirmation, and when
    bool outdated_ = false;
    bool members_changed_ = false;
    Millis rebuilt_at_ = kLongAgo;
    std::uint64_t revision_ = 0;
};

}  // namespace ochregrade::replication
