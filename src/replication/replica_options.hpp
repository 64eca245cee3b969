// Options, counters and outgoing datagrams of a replica, shared by its components.
#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include "replication/codec.hpp"
#include "replication/records.hpp"

namespace ochregrade::replication {

constexpr MemberId kAllMembers = 0xffff;  // as a receiver: every other member
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
constexpr Millis kLongAgo = -1e18;  // earlier than any time that occurs

/// Number of direct reporters that confirm a failure of an endpoint.
constexpr std::uint32_t kQuorum = 3;
/// Most origins for which a report of one endpoint, or of the same versions, is disseminated as an update.
/// Anti-entropy transfers the reports of further origins, which no longer change a decision.
constexpr std::uint32_t kMaxDisseminatedOrigins = 4;

/// A datagram for the caller to send.
struct Outgoing {
    MemberId to = 0;
    Bytes bytes;
};

/// Times are in milliseconds.
struct Options {
    Millis probe_period = 1000;          // between probes; each probe tests one member
    Millis ack_timeout = 300;            // a ping without an ack is repeated after this time
    int indirect_probes = 3;             // members that are asked to ping the target too
    Millis gossip_period = 100;          // between gossip rounds while updates are pending
    int fanout = 3;                      // members to which a gossip round sends
    double broadcasts_per_second = 200;  // of all members together
    Millis sync_period = 2000;           // between digests
    double transmit_multiplier = 3;      // times log10(members + 1): how often an update is sent
    double suspicion_multiplier = 1.0;   // times log2(members + 1): probe intervals until a suspicion expires
    bool repair = true;  // anti-entropy and catch-up; off only in tests of a fleet without them
};

/// Counters since the construction.
struct ReplicaCounts {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::array<std::uint64_t, kDecodeErrors> decode_errors{};  // datagrams not decoded, by DecodeError
    std::uint64_t unknown_members = 0;                         // items with a member id beyond the fleet
    std::uint64_t implausible_epochs = 0;            // items with an epoch too far ahead of the clock
    std::uint64_t refuted = 0;                       // false states and records of this member
    std::uint64_t suspected = 0, declared_dead = 0;  // by this member's own probes and timers
    std::uint64_t syncs = 0, repaired = 0;           // digests sent; items of replies that changed the state
    std::uint64_t broadcasts = 0;
    std::uint64_t confirmations = 0;   // origins asked to confirm indirect evidence
    std::uint64_t process_pauses = 0;  // pauses of this process
    std::uint64_t unanswered = 0;      // reply datagrams that the rate limit did not admit
};

}  // namespace ochregrade::replication
