// Records of this member: numbers and publishes the writes of this member, and refutes false states and
// records of this member that arrive from other members. A higher incarnation refutes a suspicion (SWIM). A
// later epoch replaces records that this process never wrote: records of an earlier process, or forged ones.
// Times are Unix milliseconds.
#pragma once

#include "replication/broadcaster.hpp"
#include "replication/evidence_view.hpp"

namespace ochregrade::replication {

class OwnRecords {
public:
    /// The components of the replica that this class uses. They outlive it.
    struct Parts {
        MemberTable& members;
        PendingUpdates& updates;
        Broadcaster& broadcaster;
        const EvidenceView& view;
        ReplicaCounts& counts;
    };
    explicit OwnRecords(const Parts& parts) : parts_(parts) {}

    void publish(Millis now, EndpointKey endpoint, const Evidence& evidence);
    void publish(Millis now, const Versions& versions);

    /// Refutes another member's state of this member, if that state is false.
    void refute(Millis now, const MemberItem& item) { refute(now, item.state, item.floor); }
    /// Each refutes a record with this member as its origin, if this member did not write the record.
    void refute(Millis now, const EvidenceItem& item);
    void refute(Millis now, const VersionsItem& item);

private:
    template <class Value>
    void refute_record(Millis now, std::uint32_t epoch, const Record<Value>& claimed,
                       const Record<Value>* own);
    void refute(Millis now, const MemberState& claimed, std::uint32_t sequence);
    void start_epoch(Millis now, std::uint32_t epoch);

    Parts parts_;
    std::uint32_t sequence_ = 0;  // sequence of the last write
    Millis epoch_started_at_ = kLongAgo;
};

}  // namespace ochregrade::replication
