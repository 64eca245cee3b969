// What the sidecars of a tier know together: records, their versions, and the rule for copies that differ.
// No sockets, no clock, no decisions. Times are milliseconds on the reader's own clock, which never goes
// back.
//
// Each sidecar (an origin, by its number among the siblings) writes records of its own and nobody else's.
// What is held of an origin is a join-semilattice: joining copies gives the same result in any order, however
// often. It is the product, in this order, of
//   life         a process of the origin; a later life replaces all of an earlier one,
//   incarnation, status  SWIM's (Das, Gupta, Motivala 2002): the higher incarnation wins, of equals the worse
//                status, so that only the origin itself refutes a suspicion, by a higher incarnation,
//   records      by key the higher count wins; an origin never writes two records with one count, so copies
//                that differ at the same count are forged, and the greater value stands until the origin
//                answers with a higher count,
//   floor        records that expire and whose count is no higher have expired: what is replayed is not news.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ochregrade::replication {

using Millis = double;
using MemberId = std::uint16_t;  // a sidecar's number among its siblings, from 0
using EndpointKey =
    std::uint32_t;  // a server's number, the same at every sidecar; the key of what is known of it

// A tier may be no larger: the state of one with more would not fit the memory of a sidecar.
constexpr std::size_t kMaxMembers = 4096;
// Of one origin at once. An origin with more to say withdraws its oldest.
constexpr std::size_t kMostRecords = 32;
// What an origin says of a server holds for this long after it was written, wherever it is read.
constexpr Millis kEvidenceLife = 10000;

enum class Status : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

// How a member is known: the whole of it is ordered, and the greatest wins.
struct MemberState {
    std::uint32_t epoch = 0;  // 0: never heard of
    std::uint32_t incarnation = 0;
    Status status = Status::alive;
    auto operator<=>(const MemberState&) const = default;
};

// What an origin saw of a server in its own real requests of late. Never more than 255 outcomes.
struct Evidence {
    std::uint8_t successes = 0, failures = 0;
    std::uint8_t latency_ratio = 0;  // its answers' time against their aim, in 1/64; 0: not known
    std::uint8_t flags = 0;          // kRemoved, kRestored
    auto operator<=>(const Evidence&) const = default;
};
constexpr std::uint8_t kRemoved = 1;   // out of the origin's own pool
constexpr std::uint8_t kRestored = 2;  // back in it after a trial
constexpr std::uint8_t kClosed = 4;    // on the origin's list it drains or is gone

// What an origin acts on (docs/CONFIGURATION.md): its configuration's epoch and hash, its list's incarnation
// and number. The epoch and the incarnation only grow; each orders what has the same first part.
struct Versions {
    std::uint32_t epoch = 0, hash = 0;
    std::uint32_t list_incarnation = 0, list_seq = 0;
    auto operator<=>(const Versions&) const = default;
};

template <class Value>
struct Record {
    std::uint32_t count = 0;  // the origin's, of this write
    Value value{};
    Millis expires = 0;  // by the holder's clock; no matter for Versions
    bool firsthand =
        false;  // it came from its origin itself, as its address shows: nobody else can have made it
    // Whether this one replaces `held`, which is about the same key.
    bool beats(const Record& held) const {
        return count != held.count ? count > held.count : value > held.value;
    }
};

class OriginState {
public:
    const MemberState& standing() const { return standing_; }
    std::uint32_t floor() const { return floor_; }
    const std::map<EndpointKey, Record<Evidence>>& evidence() const { return evidence_; }
    const std::optional<Record<Versions>>& versions() const { return versions_; }
    std::uint32_t top_count() const;  // the highest count held, or the floor

    // Each returns whether anything but a record's expiry or its being firsthand changed.
    bool join(const MemberState& standing);
    bool join(std::uint32_t life, EndpointKey key, Record<Evidence> record);
    bool join(std::uint32_t life, Record<Versions> record);
    bool join(const OriginState& other);
    // What this life of the origin wrote up to there has expired.
    bool raise_floor(std::uint32_t floor);

    // Drops what has expired by `now`; returns whether anything did.
    bool expire(Millis now);

    // A hash of all but expiries and what is firsthand: the same for copies that agree. Source: XXH64.
    std::uint32_t fingerprint() const;

private:
    void trim();
    std::uint32_t hash() const;

    MemberState standing_;
    std::uint32_t floor_ = 0;
    std::map<EndpointKey, Record<Evidence>> evidence_;
    std::optional<Record<Versions>> versions_;
    mutable std::optional<std::uint32_t> fingerprint_;  // since the last change
};

// What all origins that take part say of one server, added up. Whatever is passed on may have been forged by
// whoever passed it on, so against a server counts only what came firsthand; for it, all.
struct EndpointTotals {
    EndpointKey endpoint = 0;
    std::uint32_t successes = 0, failures = 0;  // outcomes: good ones of all, bad ones firsthand
    std::uint32_t reporters = 0;          // origins with bad outcomes, or that have it out of their pool
    std::uint32_t direct_reporters = 0;   // those of them that said so themselves
    std::uint32_t withdrawals = 0;        // origins that said themselves that it drains or is gone
    std::uint32_t recoveries = 0;         // origins that have just brought it back
    std::uint32_t latency_reporters = 0;  // origins that said themselves how long its answers take
    double latency_ratio = 0;             // the mean of that; 0: nobody did
    bool operator==(const EndpointTotals&) const = default;
};

}  // namespace ochregrade::replication
