// Settings, counters and output of a replica, shared by its parts.
#pragma once

#include <array>
#include <cstdint>
#include <limits>

#include "replication/codec.hpp"
#include "replication/records.hpp"

namespace ochregrade::replication {

constexpr MemberId kAll = 0xffff;  // as a receiver: every other member
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
constexpr Millis kLongAgo = -1e18;

/// This many firsthand reporters confirm a failure of an endpoint.
constexpr std::uint32_t kQuorum = 3;
/// The same statement is disseminated as an update for at most this many origins. Of more, anti-entropy
/// brings it: they no longer change a decision.
constexpr std::uint32_t kMaxDisseminatedOrigins = 4;

/// A datagram for the caller to send.
struct Outgoing {
    MemberId to = 0;
    Bytes bytes;
};

struct Options {
    Millis probe_period = 1000;          // a member probes one other in each period,
    Millis ack_time = 300;               // repeats the ping after this long without an ack,
    int indirect = 3;                    // and asks this many others to ping it too
    Millis gossip_period = 100;          // between gossip rounds while updates are pending
    int fanout = 3;                      // members that a gossip round goes to
    double broadcasts_per_second = 200;  // datagrams a second that each member may get from broadcasts of all
    Millis sync_period = 2000;           // between digests to another member
    double repeats = 3;                  // an update is sent this times log10(members + 1) times
    double suspicion = 1.0;  // a suspect has this times log2(members + 1) probe times to refute it
    bool repair = true;      // anti-entropy and catch-up; off only in tests that need them missing
};

/// Counters since the construction.
struct ReplicaCounts {
    std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
    std::array<std::uint64_t, kDecodeErrors> decode_errors{};  // datagrams not decoded, by DecodeError
    std::uint64_t unknown_members = 0;                         // items about member ids beyond the fleet
    std::uint64_t implausible_epochs = 0;   // items with an epoch too far ahead of the clock
    std::uint64_t refuted = 0;              // false statements about this member
    std::uint64_t suspected = 0, died = 0;  // by this member's own probes and timers
    std::uint64_t syncs = 0, repaired = 0;  // digests sent; items of answers that changed something
    std::uint64_t broadcasts = 0;
    std::uint64_t confirmations = 0;   // origins asked to confirm indirect evidence
    std::uint64_t process_pauses = 0;  // pauses of this process
    std::uint64_t unanswered = 0;      // requests beyond the rate limit of answers
};

}  // namespace ochregrade::replication
