// Replicated records and the rule by which differing copies are merged. No I/O and no clock: times are
// milliseconds on the reader's own clock, which never goes back.
//
// Each sidecar (an origin, by its index among the sidecars) writes its own records and nobody else's. What is
// held of an origin is a join-semilattice (a state-based CRDT; Shapiro et al. 2011): joining copies gives the
// same result in any order and however often. It is the product, in this order, of
//   epoch        one process of the origin; a later epoch replaces everything of an earlier one,
//   incarnation, status  as in SWIM (Das, Gupta, Motivala 2002): the higher incarnation wins, and at equal
//                incarnations the worse status, so that only the origin refutes a suspicion, by a higher
//                incarnation,
//   records      by key the higher sequence wins. An origin never writes two records with one sequence, so
//                copies that differ at the same sequence are forged; the greater value stands until the
//                origin answers with a higher sequence,
//   floor        records that expire and whose sequence is no higher have expired, so that replayed ones are
//                not taken for new.
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

/// Most members of a fleet: the state of a larger one would not fit the memory of a sidecar.
constexpr std::size_t kMaxMembers = 4096;
/// Evidence records of one origin at any time; beyond that the oldest are dropped.
constexpr std::size_t kMaxRecordsPerOrigin = 32;
/// Evidence is valid for this long after it was written, wherever it is read (milliseconds).
constexpr Millis kEvidenceLifetime = 10000;

enum class Status : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

/// SWIM state of a member: totally ordered, and the greatest wins.
struct MemberState {
    std::uint32_t epoch = 0;  // Unix seconds of the process start; 0: unknown member
    std::uint32_t incarnation = 0;
    Status status = Status::alive;
    auto operator<=>(const MemberState&) const = default;
};

/// What an origin recently saw of an endpoint in its own requests: at most 255 outcomes.
struct Evidence {
    std::uint8_t successes = 0, failures = 0;
    std::uint8_t latency_ratio = 0;  // latency over the latency objective, in 1/64; 0: unknown
    std::uint8_t flags = 0;          // kEjected, kRecovered, kWithdrawn
    auto operator<=>(const Evidence&) const = default;
};
constexpr std::uint8_t kEjected = 1;    // ejected by the origin
constexpr std::uint8_t kRecovered = 2;  // returned to the pool after a successful half-open trial
constexpr std::uint8_t kWithdrawn = 4;  // draining or gone in the origin's endpoint list

/// What an origin acts on (docs/CONFIGURATION.md): epoch and hash of its settings, incarnation and sequence
/// number of its endpoint list. Epoch and incarnation only grow.
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
    Millis expires = 0;      // on the reader's clock; unused for Versions
    bool firsthand = false;  // received from the origin's own address, so not forged by another member
    /// Whether this record replaces `other`, which has the same key.
    bool supersedes(const Record& other) const {
        return sequence != other.sequence ? sequence > other.sequence : value > other.value;
    }
};

/// All that is held of one origin.
class OriginState {
public:
    const MemberState& member_state() const { return member_state_; }
    std::uint32_t floor() const { return floor_; }
    const std::map<EndpointKey, Record<Evidence>>& evidence() const { return evidence_; }
    const std::optional<Record<Versions>>& versions() const { return versions_; }
    std::uint32_t highest_sequence() const;  // of all records, or the floor

    /// Each returns whether anything other than an expiry or `firsthand` changed.
    bool join(const MemberState& state);
    bool join(std::uint32_t epoch, EndpointKey key, const Record<Evidence>& record);
    bool join(std::uint32_t epoch, const Record<Versions>& record);
    bool join(const OriginState& other);
    /// Everything this epoch of the origin wrote up to this sequence has expired.
    bool raise_floor(std::uint32_t floor);

    /// Drops what has expired by `now`; returns whether anything did.
    bool expire(Millis now);

    /// XXH64 over everything but expiries and `firsthand`: equal for copies that agree. 0: unknown member.
    std::uint32_t fingerprint() const;

private:
    void trim();
    std::uint32_t hash() const;

    MemberState member_state_;
    std::uint32_t floor_ = 0;
    std::map<EndpointKey, Record<Evidence>> evidence_;
    std::optional<Record<Versions>> versions_;
    mutable std::optional<std::uint32_t> fingerprint_;  // since the last change
};

/// The evidence of all other live members on one endpoint, added up. Forwarded records may have been forged
/// by the member that forwarded them, so only firsthand records count against an endpoint; all count for it.
struct EndpointTotals {
    EndpointKey endpoint = 0;
    std::uint32_t successes = 0, failures = 0;  // successes of all; failures firsthand
    std::uint32_t reporters = 0;                // origins with failures, or that ejected it
    std::uint32_t direct_reporters = 0;         // those of them received firsthand
    std::uint32_t withdrawals = 0;              // origins (firsthand) where it is draining or gone
    std::uint32_t recoveries = 0;               // origins that have just returned it to the pool
    std::uint32_t latency_reporters = 0;        // origins (firsthand) that report a latency ratio
    double latency_ratio = 0;                   // mean latency over objective; 0: nobody reports one
    bool operator==(const EndpointTotals&) const = default;
};

}  // namespace ochregrade::replication
