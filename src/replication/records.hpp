// Replicated records and the rule by which differing copies are merged. No I/O and no clock: times are
// milliseconds on the reader's own clock, which never goes back.
//
// Each sidecar writes only its own records; it is their origin, identified by its index among the sidecars.
// The state of an origin is a join-semilattice (a state-based CRDT; Shapiro et al. 2011): joining copies in
// any order and any number of times gives the same result. The state is the product, in this order, of
//   epoch        identifies one process of the origin; a later epoch replaces all state of an earlier one,
//   incarnation, status  as in SWIM (Das, Gupta, Motivala 2002): the higher incarnation wins, and at equal
//                incarnations the worse status, so that only the origin refutes a suspicion, by a higher
//                incarnation,
//   records      for each key the record with the higher sequence wins. An origin never writes two records
//                with one sequence, so copies that differ at the same sequence are forged; the greater value
//                wins until the origin refutes the record with a higher sequence,
//   floor        evidence with a sequence up to the floor has expired, so that replayed evidence is not
//                taken for new.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ochregrade::replication {

using Millis = double;
using MemberId = std::uint16_t;     // a sidecar's index among the sidecars, from 0
using EndpointKey = std::uint32_t;  // identifies one process of an endpoint, the same at every sidecar

/// Most members of a fleet: the state of a larger fleet would not fit the memory of a sidecar.
constexpr std::size_t kMaxMembers = 4096;
/// Most evidence records of one origin at any time; the oldest records beyond that are dropped.
constexpr std::size_t kMaxRecordsPerOrigin = 32;
/// Time after which evidence expires, at every member, from when it was written (milliseconds).
constexpr Millis kEvidenceLifetime = 10000;

enum class Status : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

/// SWIM state of a member: totally ordered, and the greatest wins.
struct MemberState {
    std::uint32_t epoch = 0;  // Unix seconds of the process start; 0: unknown member
    std::uint32_t incarnation = 0;
    Status status = Status::alive;
    auto operator<=>(const MemberState&) const = default;
};

/// Outcomes of an origin's own recent requests to an endpoint: at most 255 of each kind.
struct Evidence {
    std::uint8_t successes = 0, failures = 0;
    std::uint8_t latency_ratio = 0;  // latency over the latency objective, in 1/64; 0: unknown
    std::uint8_t flags = 0;          // kEjected, kRecovered, kWithdrawn
    auto operator<=>(const Evidence&) const = default;
};
constexpr std::uint8_t kEjected = 1;    // ejected by the origin
constexpr std::uint8_t kRecovered = 2;  // back in the load-balancing pool after a successful half-open trial
constexpr std::uint8_t kWithdrawn = 4;  // draining in, or removed from, the origin's endpoint list

/// Versions that an origin acts on (docs/CONFIGURATION.md): epoch and hash of its settings, incarnation and
/// sequence number of its endpoint list. Epoch and incarnation never decrease.
struct Versions {
    std::uint32_t epoch = 0, hash = 0;
    std::uint32_t list_incarnation = 0, list_seq = 0;
    auto operator<=>(const Versions&) const = default;
};

/// One write of an origin.
template <class Value>
struct Record {
    std::uint32_t sequence = 0;  // numbers the origin's writes
    Value value{};
    Millis expires = 0;   // on the reader's clock; unused for Versions
    bool direct = false;  // received from the origin's own address, so not forged by another member
    /// Whether this record replaces `other`, which has the same key.
    bool supersedes(const Record& other) const {
        return sequence != other.sequence ? sequence > other.sequence : value > other.value;
    }
};

/// The replicated state of one origin.
class OriginState {
public:
    const MemberState& member_state() const { return member_state_; }
    std::uint32_t floor() const { return floor_; }
    const std::map<EndpointKey, Record<Evidence>>& evidence() const { return evidence_; }
    const std::optional<Record<Versions>>& versions() const { return versions_; }
    std::uint32_t highest_sequence() const;  // of all records; at least the floor

    /// Each returns whether the join changed anything other than an expiry or `direct`.
    bool join(const MemberState& state);
    bool join(std::uint32_t epoch, EndpointKey key, const Record<Evidence>& record);
    bool join(std::uint32_t epoch, const Record<Versions>& record);
    bool join(const OriginState& other);
    /// Removes evidence of the current epoch with a sequence up to `floor`, since it has expired. Returns
    /// whether the floor has risen.
    bool raise_floor(std::uint32_t floor);

    /// Removes evidence that has expired by `now`; returns whether there was any.
    bool expire(Millis now);

    /// XXH64 of the state without expiries and `direct`: equal for copies that agree. 0: unknown member.
    std::uint32_t fingerprint() const;

private:
    void trim();
    std::uint32_t hash() const;

    MemberState member_state_;
    std::uint32_t floor_ = 0;
    std::map<EndpointKey, Record<Evidence>> evidence_;
    std::optional<Record<Versions>> versions_;
    mutable std::optional<std::uint32_t> fingerprint_;  // cached since the last change
};

/// Sum of the evidence of all other members that are not dead on one endpoint. A forwarded record may have
/// been forged by the member that forwarded it, so only records received directly from their origins count
/// against the endpoint; all records count in its favour.
struct EndpointTotals {
    EndpointKey endpoint = 0;
    std::uint32_t successes = 0, failures = 0;  // successes of all records; failures of direct records
    std::uint32_t reporters = 0;                // origins that report failures or have ejected the endpoint
    std::uint32_t direct_reporters = 0;         // reporters whose record is direct
    std::uint32_t withdrawals = 0;              // origins (direct) that withdrew the endpoint: kWithdrawn
    std::uint32_t recoveries = 0;               // origins that readmitted the endpoint: kRecovered
    std::uint32_t latency_reporters = 0;        // origins (direct) that report a latency ratio
    double latency_ratio = 0;                   // mean of latency over objective; 0: no origin reports one
    bool operator==(const EndpointTotals&) const = default;
};

}  // namespace ochregrade::replication
