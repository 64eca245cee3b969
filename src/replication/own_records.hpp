// Records whose origin is this member: numbers and publishes the writes of this member, and refutes false
// states and records of this member that arrive from other members. This member refutes a suspicion with a
// higher incarnation (SWIM). It refutes records that this process did not write with a later epoch, which
// replaces all earlier records; such records come from an earlier process or are forged. Times are Unix
// milliseconds.
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

    /// Refutes a received state of this member if the state is false: a later epoch, a sequence that this
    /// member has not reached, a higher incarnation, or suspect or dead at this member's incarnation.
    /// Refutations that need a new epoch because of a false epoch or sequence are at least kMinEpochInterval
    /// apart.
    void refute(Millis now, const MemberItem& item) { refute(now, item.state, item.floor); }
    /// Each refutes a received record of this member if the record has a later epoch, a sequence that this
    /// member has not reached, or the sequence of this member's record with the same key and another value.
    /// Other false records are not detected.
    void refute(Millis now, const EvidenceItem& item);
    void refute(Millis now, const VersionsItem& item);

private:
    template <class Value>
    void refute_record(Millis now, std::uint32_t epoch, const Record<Value>& claimed,
                       const Record<Value>* own);
    void refute(Millis now, const MemberState& claimed, std::uint32_t sequence);
    void start_epoch(Millis now, std::uint32_t epoch);

    Parts parts_;
    std::uint32_t sequence_ = 0;  // sequence of this member's last write in the current epoch
    Millis epoch_started_at_ = kLongAgo;
};

}  // namespace ochregrade::replication
