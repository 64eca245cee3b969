#include "replication/own_records.hpp"

#include <limits>

namespace ochregrade::replication {

namespace {

constexpr std::uint32_t kMaxSequence = 1U << 30;
constexpr std::uint32_t kMaxIncarnation = std::numeric_limits<std::uint32_t>::max() - 1;
// Minimum time from a new epoch to a further one because of a false epoch or sequence (milliseconds). Without
// this limit, a forger could make this member fill all datagrams with new epochs.
constexpr Millis kMinEpochInterval = 1000;

}  // namespace

void OwnRecords::publish(Millis now, EndpointKey endpoint, const Evidence& evidence) {
    OriginState& own = parts_.members.own();
    if (sequence_ >= kMaxSequence) start_epoch(now, own.member_state().epoch + 1);
    const Record<Evidence> record{++sequence_, evidence, now + kEvidenceLifetime, true};
    own.join(own.member_state().epoch, endpoint, record);
    const bool reports_failure = evidence.failures > 0 || (evidence.flags & (kEjected | kWithdrawn));
    if (reports_failure && parts_.view.direct_reporters(endpoint) < kQuorum &&
        parts_.broadcaster.add_evidence(now, endpoint))
        return;
    parts_.updates.add(now, UpdateKey::evidence(parts_.members.self(), endpoint));
}

void OwnRecords::publish(Millis now, const Versions& versions) {
    OriginState& own = parts_.members.own();
    const std::size_t already_acting = parts_.members.acting_on(versions);
    own.join(own.member_state().epoch, Record<Versions>{++sequence_, versions, kNever, true});
    if (already_acting >= kMaxDisseminatedOrigins) return;
    // Versions are sent as an update and, if the rate budget admits it, also as a broadcast. The update is
    // needed because a member that misses the broadcast acts on an older version until another datagram
    // brings the record.
    parts_.updates.add(now, UpdateKey::versions(parts_.members.self()));
    parts_.broadcaster.add_versions(now);
}

void OwnRecords::refute(Millis now, const EvidenceItem& item) {
    const auto& evidence = parts_.members.own().evidence();
    const auto found = evidence.find(item.endpoint);
    refute_record(now, item.epoch, Record<Evidence>{item.sequence, item.evidence},
                  found == evidence.end() ? nullptr : &found->second);
}

void OwnRecords::refute(Millis now, const VersionsItem& item) {
    const auto& versions = parts_.members.own().versions();
    refute_record(now, item.epoch, Record<Versions>{item.sequence, item.versions},
                  versions ? &*versions : nullptr);
}

template <class Value>
void OwnRecords::refute_record(Millis now, std::uint32_t epoch, const Record<Value>& claimed,
                               const Record<Value>* own) {
    const bool forged = epoch == parts_.members.own().member_state().epoch && own &&
                        own->sequence == claimed.sequence && own->value != claimed.value;
    refute(now, MemberState{epoch, 0, Status::alive}, forged ? sequence_ + 1 : claimed.sequence);
}

void OwnRecords::refute(Millis now, const MemberState& claimed, std::uint32_t sequence) {
    OriginState& own = parts_.members.own();
    const MemberState current = own.member_state();
    if (claimed.epoch < current.epoch) return;
    if (claimed.epoch > current.epoch || sequence > sequence_) {
        if (now < epoch_started_at_ + kMinEpochInterval) return;
        ++parts_.counts.refuted;
        start_epoch(now, claimed.epoch + 1);
        return;
    }
    const bool worse = claimed.status != Status::alive && claimed.incarnation >= current.incarnation;
    if (!worse && claimed.incarnation <= current.incarnation) return;
    ++parts_.counts.refuted;
    if (claimed.incarnation >= kMaxIncarnation) {
        start_epoch(now, current.epoch + 1);
        return;
    }
    own.join(MemberState{current.epoch, claimed.incarnation + 1, Status::alive});
    parts_.updates.add(now, UpdateKey::member(parts_.members.self()));
}

// Writes all records of this member again in the new epoch, because other members discard the records of the
// earlier epoch. Evidence keeps its expiry.
void OwnRecords::start_epoch(Millis now, std::uint32_t epoch) {
    epoch_started_at_ = now;
    const MemberId self = parts_.members.self();
    OriginState& own = parts_.members.own();
    const OriginState before = own;
    own.join(MemberState{epoch, 0, Status::alive});
    sequence_ = 0;
    parts_.updates.add(now, UpdateKey::member(self));
    for (const auto& [endpoint, record] : before.evidence()) {
        own.join(epoch, endpoint, Record<Evidence>{++sequence_, record.value, record.expires, true});
        parts_.updates.add(now, UpdateKey::evidence(self, endpoint));
    }
    if (before.versions()) publish(now, before.versions()->value);
}

}  // namespace ochregrade::replication
