// Settings of the decision library: the values that operators and the platform's rules set, from the
// sidecar's configuration.
//
// Source: the platform's rules for request classes (idempotency, deduplication), slow start and discovery.
// All times are milliseconds.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ochregrade {

/// Milliseconds: a span, or a time on any monotonic clock.
using Millis = double;
// The caller chooses the integer ids of endpoints, zones, requests and peers; the values have no meaning.
using EndpointId = std::uint32_t;
using ZoneId = std::uint32_t;
using RequestId = std::uint64_t;
/// Identifies a timer from its SetTimer to its TimerFired.
using TimerToken = std::uint64_t;

/// Whether a request that may have run may be sent again. idempotent: always, because a second run is
/// harmless. idempotent_with_key: only to endpoints that know its idempotency key and therefore drop the
/// repeat. not_idempotent: never.
enum class Idempotency { idempotent, idempotent_with_key, not_idempotent };

/// Which endpoints share their record of idempotency keys (for Idempotency::idempotent_with_key).
enum class DedupScope { all, zone, cell };

struct RequestClass {
    Idempotency idempotency = Idempotency::not_idempotent;
    DedupScope dedup_scope = DedupScope::cell;
    /// Endpoints drop repeats of an idempotency key for this long after the first attempt that may have run.
    Millis dedup_window = 0;
    Millis latency_objective = 1000;  ///< a response within this time has its full value
    /// The latency objective of a request grows by this multiple of its effort.
    double objective_per_effort = 0;
    double priority_weight = 1;  ///< of one request, relative to other classes
};

/// Fees as operators state them. A fee is the share of the total value of all requests that is lost if every
/// request has one such attempt or probe. 0: no fee.
struct Fees {
    double cross_zone = 0;  ///< for each attempt at an endpoint in another zone
    double probe = 0;       ///< for each probe
};

struct Settings {
    std::vector<RequestClass> classes;  ///< at least one
    std::optional<ZoneId> local_zone;
    std::uint32_t sidecar_count = 1;  ///< sidecars that use the same endpoints, this one included
    std::uint32_t sidecar_index = 0;  ///< index of this sidecar among them, from 0
    bool polled_discovery = false;    ///< the sidecar must subscribe to the endpoint list
    /// Poll interval of discovery. The platform expects a sidecar to know a list change at the latest four
    /// poll intervals after a failed call to discovery. 0: the platform has no such rule.
    Millis poll_interval = 0;
    std::uint32_t max_attempts = 3;  ///< for one request, including the first attempt
    bool hedging_allowed = false;    ///< two attempts of one request may be in flight at the same time
    bool cancel_allowed = true;      ///< CancelAttempt is permitted
    bool probes_allowed = false;     ///< SendProbe is permitted
    /// The sidecars share evidence: the host carries out PublishEvidence and delivers FleetEvidence.
    bool evidence_shared = false;
    /// SendGossip is permitted; requires that every sidecar uses the same EndpointId for an endpoint.
    bool gossip_allowed = false;
    double slow_start_least_share = 1;  ///< slow-start share of an endpoint that has just started, 0 to 1
    Millis slow_start_duration = 0;     ///< time from an endpoint's start to its full capacity
    /// A cold endpoint collapses if its load exceeds this multiple of its slow-start share; at least 1.
    double slow_start_overload_factor = 2;
    Fees fees;
};

using SettingsPtr = std::shared_ptr<const Settings>;

}  // namespace ochregrade
