// Replicated records and the rule by which differing copies are merged. No I/O and no clock: times are
// milliseconds on the clock of the sidecar that has the copy, and never go back.
//
// Each sidecar writes only its own records. The sidecar is the origin of these records, identified by its
// index among the sidecars. The state of an origin is a join-semilattice (a state-based CRDT; Shapiro et al.
// 2011): joining copies in any order and any number of times gives the same result. The parts of the state,
// in order of precedence:
//   epoch        identifies one process of the origin, or a refutation by that process; a later epoch
//                replaces all state of an earlier one.
//   incarnation, status  as in SWIM (Das, Gupta, Motivala 2002): the higher incarnation wins; at equal
//                incarnations the worse status wins. Only the origin can therefore refute a suspicion, with a
//                higher incarnation.
//   records      for each key the record with the higher sequence wins. An origin never writes two records
//                with the same sequence in one epoch, so if copies differ at the same sequence, at least one
//                is forged. The greater value wins until the origin refutes the record with a later epoch.
//   floor        evidence with a sequence up to the floor has expired or was dropped, and is not accepted
//                again, so that replayed evidence does not count as new.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ochregrade::replication {

using Millis = double;
using MemberId = std::uint16_t;     // a sidecar's index among the sidecars, from 0
using EndpointKey = std::uint32_t;  // identifies one process of an endpoint; equal at all sidecars

/// Maximum number of members of a fleet. The state of a larger fleet would not fit the memory of a sidecar.
constexpr std::size_t kMaxMembers = 4096;
/// Maximum number of evidence records of one origin at any time. If there are more, the oldest are dropped.
constexpr std::size_t kMaxRecordsPerOrigin = 32;
/// Lifetime of evidence from the write on (milliseconds). Datagrams contain the remaining lifetime, so
/// evidence expires at other members at about the same time; the time in transit is not subtracted.
constexpr Millis kEvidenceLifetime = 10000;

enum class Status : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

/// SWIM state of a member. States are totally ordered; in a join the greatest state wins.
struct MemberState {
    std::uint32_t epoch = 0;  // Unix seconds of the process start; 0: unknown member
    std::uint32_t incarnation = 0;
    Status status = Status::alive;
    auto operator<=>(const MemberState&) const = default;
};

/// Outcomes of an origin's own recent requests to an endpoint, at most 255 of each kind.
struct Evidence {
    std::uint8_t successes = 0, failures = 0;
    std::uint8_t latency_ratio = 0;  // latency over the latency objective, in 1/64; 0: unknown
    std::uint8_t flags = 0;          // kEjected, kRecovered, kWithdrawn
    auto operator<=>(const Evidence&) const = default;
};
constexpr std::uint8_t kEjected = 1;    // ejected by the origin
constexpr std::uint8_t kRecovered = 2;  // back in the origin's pool after a successful half-open trial
constexpr std::uint8_t kWithdrawn = 4;  // draining in, or removed from, the origin's endpoint list

/// Versions that an origin acts on (docs/CONFIGURATION.md): epoch and hash of its settings, incarnation and
/// sequence number of its endpoint list. The epoch and the list's incarnation never decrease.
struct Versions {
    std::uint32_t epoch = 0, hash = 0;
    std::uint32_t list_incarnation = 0, list_seq = 0;
    auto operator<=>(const Versions&) const = default;
};

/// One write of an origin.
template <class Value>
struct Record {
    std::uint32_t sequence = 0;  // number of the write among the origin's writes in its epoch
    Value value{};
    Millis expires = 0;   // on the clock of the sidecar that has the copy; unused for Versions
    bool direct = false;  // received from the origin's own address, so not forged by another member
    /// Whether this record replaces `other`, which has the same key.
    bool supersedes(const Record& other) const {
        return sequence != other.sequence ? sequence > other.sequence : value > other.value;
    }
};

/// One copy of the replicated state of one origin.
class OriginState {
public:
    const MemberState& member_state() const { return member_state_; }
    std::uint32_t floor() const { return floor_; }
    const std::map<EndpointKey, Record<Evidence>>& evidence() const { return evidence_; }
    const std::optional<Record<Versions>>& versions() const { return versions_; }
    std::uint32_t highest_sequence() const;  // of all records, at least the floor

    /// Joins a state, a record or another copy into this copy. Each returns whether it has changed this copy;
    /// a changed expiry or `direct` does not count. The join of a record that is not accepted returns false,
    /// even if the later epoch of the record was accepted or the floor has risen.
    bool join(const MemberState& state);
    bool join(std::uint32_t epoch, EndpointKey key, const Record<Evidence>& record);
    bool join(std::uint32_t epoch, const Record<Versions>& record);
    bool join(const OriginState& other);
    /// Raises the floor to `floor` and removes evidence with a sequence up to the floor. Returns whether the
    /// floor has risen.
    bool raise_floor(std::uint32_t floor);

    /// Removes evidence that has expired by `now`, and evidence with a lower sequence. Returns whether there
    /// was any.
    bool expire(Millis now);

    /// 32-bit hash of the state without expiries and `direct`: equal for copies that agree. 0: unknown
    /// member. Of the floor, the hash covers only the value of highest_sequence().
    std::uint32_t fingerprint() const;

private:
    void trim();
    std::uint32_t hash() const;

    MemberState member_state_;
    std::uint32_t floor_ = 0;
    std::map<EndpointKey, Record<Evidence>> evidence_;
    std::optional<Record<Versions>> versions_;
    mutable std::optional<std::uint32_t> fingerprint_;  // cached; none after a change
};

/// Sum of the evidence about one endpoint from all other members that are not dead. A forwarded record may
/// have been forged by the member that forwarded it. Failures, withdrawals and latency ratios, which count
/// against the endpoint, are therefore summed only over direct records, which came from their origins.
/// Successes and recoveries, which count in its favour, are summed over all records.
struct EndpointTotals {
    EndpointKey endpoint = 0;
    std::uint32_t successes = 0, failures = 0;  // successes in all records; failures in direct records
    std::uint32_t reporters = 0;                // origins (any) that report failures or ejected the endpoint
    std::uint32_t direct_reporters = 0;         // reporters whose record is direct
    std::uint32_t withdrawals = 0;              // origins (direct) that report kWithdrawn
    std::uint32_t recoveries = 0;               // origins (any) that report kRecovered
    std::uint32_t latency_reporters = 0;        // origins (direct) that report a latency ratio
    double latency_ratio = 0;                   // mean of their latency ratios; 0: no origin reports one
    bool operator==(const EndpointTotals&) const = default;
};

}  // namespace ochregrade::replication
