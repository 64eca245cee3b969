// Settings of the decision library: what the operator and the platform's rules fix before a sidecar decides.
//
// Source: the platform's rules of request classes (idempotency, deduplication), of slow start and of
// discovery, as the sidecar's configuration states them. All times are milliseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ochregrade {

/// Milliseconds: a span, or a time on any clock that never goes back.
using Millis = double;
// Endpoints, zones, requests and peers are named by integers that the caller chooses; their values carry no
// meaning.
using EndpointId = std::uint32_t;
using ZoneId = std::uint32_t;
using RequestId = std::uint64_t;
/// Names a timer from its SetTimer to its TimerFired.
using TimerToken = std::uint64_t;

/// Whether a request may run twice: always, within a group of endpoints that drops repeated keys, or never.
enum class Idempotency { idempotent, idempotent_with_key, not_idempotent };

/// Which endpoints share the memory of keys already seen (for Idempotency::idempotent_with_key).
enum class DedupScope { all, zone, cell };

struct RequestClass {
    Idempotency idempotency = Idempotency::not_idempotent;
    DedupScope dedup_scope = DedupScope::cell;
    Millis dedup_window = 0;  ///< repeats are dropped this long after the first attempt that may have run
    Millis latency_objective = 1000;  ///< an answer within this counts in full
    /// The objective grows by this multiple of the request's own effort.
    double objective_per_effort = 0;
    double priority_weight = 1;  ///< of one request, against other classes
};

/// Prices in shares of the whole result, as operators state them; 0 leaves a matter out of account.
struct Fees {
    double cross_zone = 0;  ///< for each attempt that leaves the zone
    double probe = 0;       ///< for each probe, per request
};

struct Settings {
    std::vector<RequestClass> classes;  ///< at least one
    std::optional<ZoneId> local_zone;
    std::uint32_t sidecar_count = 1;  ///< sidecars that share these endpoints, this one included
    std::uint32_t sidecar_index = 0;  ///< of these, from 0
    bool polled_discovery = false;    ///< the endpoint list must be subscribed to
    /// A change of the list counts as known four times this after a call that failed; 0: no such rule.
    Millis poll_interval = 0;
    std::uint32_t max_attempts = 3;  ///< for one request, the first included
    bool hedging_allowed = false;    ///< two attempts of one request may be in flight together
    bool cancel_allowed = true;      ///< CancelAttempt is permitted
    bool probes_allowed = false;     ///< SendProbe is permitted
    /// PublishEvidence is carried out and FleetEvidence comes: sidecars pool what they see.
    bool evidence_shared = false;
    bool gossip_allowed =
        false;  ///< SendGossip is permitted; then an EndpointId is the same at every sidecar
    double slow_start_least_share = 1;  ///< share of its capacity of a just started endpoint, 0 to 1
    Millis slow_start_duration = 0;     ///< it has all of its capacity after this
    /// Sent more than this multiple of what it can do, a cold endpoint collapses; at least 1.
    double slow_start_overload_factor = 2;
    Fees fees;
};

using SettingsPtr = std::shared_ptr<const Settings>;

}  // namespace ochregrade
