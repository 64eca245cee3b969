// The records of this member: numbers its writes, publishes them, and refutes what others falsely say in its
// name or about it. A higher incarnation refutes a suspicion (SWIM); a later epoch replaces records that it
// never wrote, left over from an earlier process or forged.
#pragma once

#include "replication/broadcaster.hpp"
#include "replication/evidence_view.hpp"

namespace ochregrade::replication {

class OwnRecords {
public:
    /// What it uses of the replica; all outlives it.
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

    /// Another member's view of this one.
    void refute(Millis now, const MemberItem& item) { refute(now, item.state, item.floor); }
    /// Records in this one's name.
    void refute(Millis now, const EvidenceItem& item);
    void refute(Millis now, const VersionsItem& item);

private:
    template <class Value>
    void refute_record(Millis now, std::uint32_t epoch, const Record<Value>& claimed,
                       const Record<Value>* own);
    void refute(Millis now, const MemberState& claimed, std::uint32_t sequence);
    void start_epoch(Millis now, std::uint32_t epoch);

    Parts parts_;
    std::uint32_t sequence_ = 0;  // of the last write
    Millis epoch_started_at_ = kLongAgo;
};

}  // namespace ochregrade::replication
