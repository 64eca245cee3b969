#include "replication/records.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace ochregrade::replication {

namespace {

// Copies of the same write: the shorter life holds, whoever repeats it.
template <class Value>
void join_copies(Record<Value>& held, const Record<Value>& other) {
    held.expires = std::min(held.expires, other.expires);
    held.firsthand |= other.firsthand;
}

std::uint64_t hash_of(std::initializer_list<std::uint32_t> words) {
    return XXH64(words.begin(), words.size() * sizeof(std::uint32_t), 0);
}

}  // namespace

std::uint32_t OriginState::top_count() const {
    std::uint32_t top = floor_;
    for (const auto& [key, record] : evidence_) top = std::max(top, record.count);
    return versions_ ? std::max(top, versions_->count) : top;
}

bool OriginState::join(const MemberState& standing) {
    if (!(standing > standing_)) return false;
    if (standing.epoch > standing_.epoch) {
        evidence_.clear();
        versions_.reset();
        floor_ = 0;
    }
    standing_ = standing;
    fingerprint_.reset();
    return true;
}

bool OriginState::join(std::uint32_t life, EndpointKey key, Record<Evidence> record) {
    if (life < standing_.epoch || life == 0) return false;
    if (life > standing_.epoch) join(MemberState{life, 0, Status::alive});
    if (record.count <= floor_) return false;
    fingerprint_.reset();
    const auto [at, fresh] = evidence_.try_emplace(key, record);
    if (!fresh) {
        if (at->second.count == record.count && at->second.value == record.value) {
            join_copies(at->second, record);
            return false;
        }
        if (!record.beats(at->second)) return false;
        at->second = std::move(record);
    }
    const std::uint32_t count = at->second.count;
    trim();
    return count > floor_;
}

bool OriginState::join(std::uint32_t life, Record<Versions> record) {
    if (life < standing_.epoch || life == 0) return false;
    if (life > standing_.epoch) join(MemberState{life, 0, Status::alive});
    if (versions_ && versions_->count == record.count && versions_->value == record.value) {
        join_copies(*versions_, record);
        return false;
    }
    if (versions_ && !record.beats(*versions_)) return false;
    versions_ = std::move(record);
    fingerprint_.reset();
    return true;
}

bool OriginState::join(const OriginState& other) {
    if (other.standing_.epoch == 0) return false;
    bool changed = join(other.standing_);
    if (other.standing_.epoch < standing_.epoch) return changed;
    changed |= raise_floor(other.floor_);
    for (const auto& [key, record] : other.evidence_) changed |= join(other.standing_.epoch, key, record);
    if (other.versions_) changed |= join(other.standing_.epoch, *other.versions_);
    return changed;
}

// The newest kMostRecords: whatever the order they came in, the same ones are left.
void OriginState::trim() {
    while (evidence_.size() > kMostRecords) {
        const auto oldest =
            std::min_element(evidence_.begin(), evidence_.end(),
                             [](const auto& a, const auto& b) { return a.second.count < b.second.count; });
        raise_floor(oldest->second.count);
    }
}

bool OriginState::raise_floor(std::uint32_t floor) {
    if (floor <= floor_) return false;
    floor_ = floor;
    fingerprint_.reset();
    std::erase_if(evidence_, [&](const auto& entry) { return entry.second.count <= floor_; });
    return true;
}

// All evidence lives equally long from its writing, so what was written before an expired record has expired
// too: the floor says so of what has not come yet.
bool OriginState::expire(Millis now) {
    std::uint32_t over = floor_;
    for (const auto& [key, record] : evidence_)
        if (now >= record.expires) over = std::max(over, record.count);
    return raise_floor(over);
}

std::uint32_t OriginState::fingerprint() const {
    if (!fingerprint_) fingerprint_ = standing_.epoch == 0 ? 0 : hash();
    return *fingerprint_;
}

std::uint32_t OriginState::hash() const {
    std::uint64_t sum = hash_of({0, standing_.epoch, standing_.incarnation,
                                 static_cast<std::uint32_t>(standing_.status), top_count()});
    for (const auto& [key, record] : evidence_) {
        const Evidence& e = record.value;
        const std::uint32_t value = static_cast<std::uint32_t>(e.successes) << 24 |
                                    static_cast<std::uint32_t>(e.failures) << 16 |
                                    static_cast<std::uint32_t>(e.latency_ratio) << 8 | e.flags;
        sum += hash_of({1, key, record.count, value});
    }
    if (versions_) {
        const Versions& v = versions_->value;
        sum += hash_of({2, versions_->count, v.epoch, v.hash, v.list_incarnation, v.list_seq});
    }
    return static_cast<std::uint32_t>(sum ^ sum >> 32);
}

}  // namespace ochregrade::replication
