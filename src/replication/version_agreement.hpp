// Version agreement: compares the version that this sidecar acts on with those that other members claim to
// act on, and decides when to request a newer one. The requests of a fleet are spread over time, and requests
// without success are repeated with growing backoff. Times are Unix milliseconds. No I/O and no clock: the
// caller sends the requests. Source: docs/CONFIGURATION.md.
#pragma once

#include <optional>
#include <span>

#include "replication/replica.hpp"

namespace ochregrade::replication {

/// Delays of the requests for a newer version (milliseconds).
struct RequestPacing {
    Millis grace = 150;        // time for the version to arrive without a request
    Millis spread = 250;       // further random delay, which spreads the requests of the fleet
    Millis first_retry = 300;  // delay after the first request without success; doubles
    Millis max_retry = 10000;  // upper bound of that delay
};
constexpr RequestPacing kListPacing{};
constexpr RequestPacing kSettingsPacing{200, 500, 500, 10000};

/// A version that can be ordered: (epoch, hash) of settings or (incarnation, number) of a list.
struct VersionId {
    std::uint32_t major = 0, minor = 0;
    auto operator<=>(const VersionId&) const = default;
};

/// Follows the versions of one subject: the settings, or the endpoint list.
class VersionFollower {
public:
    VersionFollower(RequestPacing pacing, std::uint64_t seed) : pacing_(pacing), random_(seed) {}

    /// `own`: the version that this sidecar acts on. `claims`: those that other members claim to act on.
    void observe(Millis now, const VersionId& own, std::span<const VersionId> claims);
    /// When to request the claimed version; none if there is no request to make.
    std::optional<Millis> due() const { return due_; }
    /// To be called when a request was sent. Schedules a repeat for the case that the request has no success.
    void requested(Millis now);

    bool behind() const { return claimed_.has_value(); }
    const std::optional<VersionId>& claimed() const { return claimed_; }
    std::uint64_t calls() const { return calls_; }          // requests sent
    std::uint64_t unfounded() const { return unfounded_; }  // claims ignored after too many failed requests

private:
    RequestPacing pacing_;
    Random random_;
    std::optional<VersionId> claimed_;
    std::optional<Millis> due_;
    Millis backoff_ = 0;
    int failed_requests_ = 0;                // requests without success, for the current claim
    std::optional<VersionId> ignored_from_;  // claims of this or a newer version are ignored
    Millis ignored_until_ = 0;               // until when claims are ignored
    std::uint64_t calls_ = 0, unfounded_ = 0;
};

VersionId settings_version(const Versions& v);
VersionId list_version(const Versions& v);

}  // namespace ochregrade::replication
