#include "replication/records.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace ochregrade::replication {

namespace {

// Joins two copies of the same write. The earlier expiry wins, so that a repeated record does not extend the
// lifetime.
template <class Value>
void join_copies(Record<Value>& record, const Record<Value>& copy) {
    record.expires = std::min(record.expires, copy.expires);
    record.direct |= copy.direct;
}

std::uint64_t hash_of(std::initializer_list<std::uint32_t> words) {
    return XXH64(words.begin(), words.size() * sizeof(std::uint32_t), 0);
}

}  // namespace

std::uint32_t OriginState::highest_sequence() const {
    std::uint32_t highest = floor_;
    for (const auto& [key, record] : evidence_) highest = std::max(highest, record.sequence);
    return versions_ ? std::max(highest, versions_->sequence) : highest;
}

bool OriginState::join(const MemberState& state) {
    if (!(state > member_state_)) return false;
    if (state.epoch > member_state_.epoch) {
        evidence_.clear();
        versions_.reset();
        floor_ = 0;
    }
    member_state_ = state;
    fingerprint_.reset();
    return true;
}

bool OriginState::join(std::uint32_t epoch, EndpointKey key, const Record<Evidence>& record) {
    if (epoch < member_state_.epoch || epoch == 0) return false;
    if (epoch > member_state_.epoch) join(MemberState{epoch, 0, Status::alive});
    if (record.sequence <= floor_) return false;
    fingerprint_.reset();
    const auto [at, inserted] = evidence_.try_emplace(key, record);
    if (!inserted) {
        if (at->second.sequence == record.sequence && at->second.value == record.value) {
            join_copies(at->second, record);
            return false;
        }
        if (!record.supersedes(at->second)) return false;
        at->second = record;
    }
    const std::uint32_t sequence = at->second.sequence;
    trim();
    return sequence > floor_;
}

bool OriginState::join(std::uint32_t epoch, const Record<Versions>& record) {
    if (epoch < member_state_.epoch || epoch == 0) return false;
    if (epoch > member_state_.epoch) join(MemberState{epoch, 0, Status::alive});
    if (versions_ && versions_->sequence == record.sequence && versions_->value == record.value) {
        join_copies(*versions_, record);
        return false;
    }
    if (versions_ && !record.supersedes(*versions_)) return false;
    versions_ = record;
    fingerprint_.reset();
    return true;
}

bool OriginState::join(const OriginState& other) {
    if (other.member_state_.epoch == 0) return false;
    bool changed = join(other.member_state_);
    if (other.member_state_.epoch < member_state_.epoch) return changed;
    changed |= raise_floor(other.floor_);
    for (const auto& [key, record] : other.evidence_) changed |= join(other.member_state_.epoch, key, record);
    if (other.versions_) changed |= join(other.member_state_.epoch, *other.versions_);
    return changed;
}

// Drops the oldest evidence until kMaxRecordsPerOrigin records remain, and raises the floor to the dropped
// sequences, so the result does not depend on the order of arrival.
void OriginState::trim() {
    while (evidence_.size() > kMaxRecordsPerOrigin) {
        const auto oldest = std::min_element(
            evidence_.begin(), evidence_.end(),
            [](const auto& a, const auto& b) { return a.second.sequence < b.second.sequence; });
        raise_floor(oldest->second.sequence);
    }
}

bool OriginState::raise_floor(std::uint32_t floor) {
    if (floor <= floor_) return false;
    floor_ = floor;
    fingerprint_.reset();
    std::erase_if(evidence_, [&](const auto& entry) { return entry.second.sequence <= floor_; });
    return true;
}

// Raises the floor to the highest expired sequence. All evidence has the same lifetime, so evidence written
// before an expired record counts as expired too, also evidence that has not arrived yet.
bool OriginState::expire(Millis now) {
    std::uint32_t expired = floor_;
    for (const auto& [key, record] : evidence_)
        if (now >= record.expires) expired = std::max(expired, record.sequence);
    return raise_floor(expired);
}

std::uint32_t OriginState::fingerprint() const {
    if (!fingerprint_) fingerprint_ = member_state_.epoch == 0 ? 0 : hash();
    return *fingerprint_;
}

std::uint32_t OriginState::hash() const {
    std::uint64_t sum = hash_of({0, member_state_.epoch, member_state_.incarnation,
                                 static_cast<std::uint32_t>(member_state_.status), highest_sequence()});
    for (const auto& [key, record] : evidence_) {
        const Evidence& e = record.value;
        const std::uint32_t value = static_cast<std::uint32_t>(e.successes) << 24 |
                                    static_cast<std::uint32_t>(e.failures) << 16 |
                                    static_cast<std::uint32_t>(e.latency_ratio) << 8 | e.flags;
        sum += hash_of({1, key, record.sequence, value});
    }
    if (versions_) {
        const Versions& v = versions_->value;
        sum += hash_of({2, versions_->sequence, v.epoch, v.hash, v.list_incarnation, v.list_seq});
    }
    return static_cast<std::uint32_t>(sum ^ sum >> 32);
}

}  // namespace ochregrade::replication
