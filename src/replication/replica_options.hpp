// Options, counters and outgoing datagrams of a replica, shared by its components.
#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include "replication/codec.hpp"
#include "replication/records.hpp"

namespace ochregrade::replication {

constexpr MemberId kAllMembers = 0xffff;  // as a receiver: all other members
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
constexpr Millis kLongAgo = -1e18;  // earlier than any time that occurs

/// Quorum: the number of direct reporters that confirm a failure of an endpoint.
constexpr std::uint32_t kQuorum = 3;
/// Received evidence about an endpoint is disseminated further while fewer than this many origins are known
/// to report failures of the endpoint. A record of versions is disseminated while at most this many members
/// are known to act on these versions. Anti-entropy transfers the records of further origins, which no longer
/// change a decision.
constexpr std::uint32_t kMaxDisseminatedOrigins = 4;

/// A datagram for the caller to send.
struct Outgoing {
    MemberId to = 0;
    Bytes bytes;
};

/// Times are in milliseconds.
struct Options {
    /// Minimum time between the starts of two probes. Each probe tests one member. The time is longer if many
    /// pings are lost.
    Millis probe_period = 1000;
    Millis ack_timeout = 300;            // after this time without an ack, a probe sends its next ping
    int indirect_probes = 3;             // members that are asked to ping the target of a probe too, at most
    Millis gossip_period = 100;          // between gossip rounds while updates are pending
    int fanout = 3;                      // members to which a gossip round sends, at most
    double broadcasts_per_second = 200;  // of all members together
    Millis sync_period = 2000;           // mean time between digests; after a difference the time is shorter
    /// An update is sent transmit_multiplier * log10(members + 1) times if no pings are lost, but at least
    /// kMinTransmits times. The number is higher if pings are lost, and lower for evidence and for newly
    /// started members.
    double transmit_multiplier = 3;
    /// A suspicion expires after suspicion_multiplier * log2(members + 1) probe intervals, but not before
    /// kMinSuspicionProbes probe intervals.
    double suspicion_multiplier = 1.0;
    bool repair = true;  // whether anti-entropy and catch-up run; off only in tests of a fleet without them
};

/// Counters since the construction.
struct ReplicaCounts {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::array<std::uint64_t, kDecodeErrors> decode_errors{};  // datagrams not decoded, by DecodeError
    std::uint64_t unknown_members = 0;               // states and records of members beyond the fleet
    std::uint64_t implausible_epochs = 0;            // epochs too far ahead of the clock
    std::uint64_t refuted = 0;                       // refuted states and records of this member
    std::uint64_t suspected = 0, declared_dead = 0;  // by this member's own probes and timers
    std::uint64_t syncs = 0, repaired = 0;  // digests sent; items of gossip replies that changed a state
    std::uint64_t broadcasts = 0;
    std::uint64_t confirmations = 0;   // requests to origins to confirm forwarded evidence
    std::uint64_t process_pauses = 0;  // pauses of this process
    std::uint64_t unanswered = 0;      // reply datagrams that the rate limit did not admit
};

}  // namespace ochregrade::replication
