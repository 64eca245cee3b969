// One sidecar's copy of the fleet's replicated state: coordinates membership (failure_detector),
// dissemination (pending_updates, broadcaster), anti-entropy and catch-up, merges the records of other
// members, and provides the merged state to the caller (docs/REPLICATION.md).
//
// A replica has no sockets and no clock: the caller passes in times (Unix milliseconds that never go back)
// and received datagrams, sends the outgoing datagrams, and calls advance() at due(). The same construction
// and calls give the same datagrams.
#pragma once

#include <span>
#include <vector>

#include "replication/anti_entropy.hpp"
#include "replication/broadcaster.hpp"
#include "replication/catch_up.hpp"
#include "replication/evidence_view.hpp"
#include "replication/failure_detector.hpp"
#include "replication/own_records.hpp"

namespace ochregrade::replication {

class Replica {
public:
    using Counts = ReplicaCounts;

    /// `epoch`: Unix seconds of the process start. Throws std::invalid_argument if `self` is not below
    /// `members`, or `members` is not 1 to kMaxMembers.
    Replica(MemberId self, std::size_t members, std::uint32_t epoch, std::uint64_t seed,
            Options options = {});
    // Not copyable: the components refer to each other.
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    /// To be called first. Requests from a few other members the state that they hold.
    void start(Millis now, std::vector<Outgoing>& out);
    /// Runs the timers that have expired. To be called at due() or soon after: a call that is more than
    /// kMinPause late counts as a pause of this process.
    void advance(Millis now, std::vector<Outgoing>& out);
    Millis due() const;
    /// Handles a datagram of member `from`, which the caller has identified by the datagram's source address.
    /// A datagram that cannot be decoded is counted and dropped. A datagram from this member or from no
    /// member of the fleet is dropped.
    void receive(Millis now, MemberId from, std::span<const std::uint8_t> bytes, std::vector<Outgoing>& out);
    /// Announces to a few other members, which disseminate it, that this member shuts down. The replica sends
    /// and receives nothing afterwards.
    void leave(Millis now, std::vector<Outgoing>& out);

    /// Publishes a record of this member. A repeated call with the same evidence renews the lifetime of the
    /// evidence.
    void publish(Millis now, EndpointKey endpoint, Evidence evidence);
    void publish(Millis now, const Versions& versions);

    /// Totals by endpoint over all other members that are not dead, as of the last rebuild in advance() or
    /// receive(); rebuilds are at least kRebuildPeriod apart. revision() increases in a rebuild if
    /// evidence(), versions() or the state of another member has changed.
    const std::vector<EndpointTotals>& evidence() const { return view_.totals(); }
    std::uint64_t revision() const { return view_.revision(); }
    /// The latest known versions record of each other member that is not dead.
    std::vector<std::pair<MemberId, Record<Versions>>> versions() const { return members_.versions(); }

    const OriginState& member(MemberId id) const { return members_.at(id); }
    MemberId self() const { return members_.self(); }
    std::size_t members() const { return members_.size(); }
    std::size_t alive() const { return members_.alive_count(); }  // known and not dead, including this member
    std::size_t records() const { return members_.evidence_count(); }
    /// Whether enough other members have replied to pulls since the start or the last pause of this process.
    /// True without pulls if the fleet has one member or Options::repair is off.
    bool caught_up() const { return catch_up_.finished(); }
    /// Hash of the states of all known members: equal at replicas that agree.
    std::uint32_t fingerprint() const { return anti_entropy_.fingerprint(); }
    const Counts& counts() const { return counts_; }

private:
    void process_paused(Millis now, Millis pause, std::vector<Outgoing>& out);
    void gossip(Millis now, std::vector<Outgoing>& out);
    void process(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out);
    void merge_items(Millis now, MemberId from, const Datagram& datagram);
    void reply(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out);

    // Each returns whether the item changed the state.
    bool merge(Millis now, const MemberItem& item);
    bool merge(Millis now, MemberId from, const EvidenceItem& item, bool disseminate);
    bool merge(Millis now, MemberId from, const VersionsItem& item, bool disseminate);
    bool is_known_member(MemberId id);
    bool is_plausible_epoch(Millis now, std::uint32_t epoch);

    ReplicaCounts counts_;
    Options options_;
    Random random_;
    MemberTable members_;
    PingLoss ping_loss_;
    PendingUpdates updates_;
    DatagramSender sender_;
    EvidenceView view_;
    Broadcaster broadcaster_;
    OwnRecords own_records_;
    FailureDetector failure_detector_;
    AntiEntropy anti_entropy_;
    CatchUp catch_up_;
    Millis next_expiry_ = kNever;
    bool left_ = false;
};

}  // namespace ochregrade::replication
