// Version agreement: compares the version that this sidecar acts on with the versions that other members
// claim to act on, and decides when this sidecar requests a newer version. The requests of a fleet are spread
// over time, and a request without success is repeated with growing backoff. Times are Unix milliseconds. No
// I/O and no clock: the caller sends the requests. Source: docs/CONFIGURATION.md.
#pragma once

#include <optional>
#include <span>

#include "replication/replica.hpp"

namespace ochregrade::replication {

/// Delays of the requests for a newer version (milliseconds).
struct RequestPacing {
    Millis grace = 150;        // delay of the first request: the version may arrive without a request
    Millis spread = 250;       // maximum of a further random delay, which spreads the requests of the fleet
    Millis first_retry = 300;  // backoff after the first request, plus a random 0 to 50 %; doubles each time
    Millis max_retry = 10000;  // upper bound of the backoff before the random addition
};
constexpr RequestPacing kListPacing{};
constexpr RequestPacing kSettingsPacing{200, 500, 500, 10000};

/// A version that can be ordered: (epoch, hash) of settings or (incarnation, number) of a list.
struct VersionId {
    std::uint32_t major = 0, minor = 0;
    auto operator<=>(const VersionId&) const = default;
};

/// Follows the versions of either the settings or the endpoint list.
class VersionFollower {
public:
    VersionFollower(RequestPacing pacing, std::uint64_t seed) : pacing_(pacing), random_(seed) {}

    /// `own`: the version that this sidecar acts on. `claims`: the versions that other members claim to act
    /// on.
    void observe(Millis now, const VersionId& own, std::span<const VersionId> claims);
    /// When to request the claimed version; none if no newer version is claimed.
    std::optional<Millis> due() const { return due_; }
    /// To be called when a request was sent. Schedules the next request, in case that this request has no
    /// success.
    void requested(Millis now);

    /// Whether another member claims to act on a newer version than this sidecar, and the claim is not
    /// ignored.
    bool behind() const { return claimed_.has_value(); }
    const std::optional<VersionId>& claimed() const { return claimed_; }
    std::uint64_t calls() const { return calls_; }          // requests sent
    std::uint64_t unfounded() const { return unfounded_; }  // how often claims became ignored

private:
    RequestPacing pacing_;
    Random random_;
    std::optional<VersionId> claimed_;
    std::optional<Millis> due_;
    Millis backoff_ = 0;
    int failed_requests_ = 0;  // requests since this sidecar fell behind or a claim became ignored
    std::optional<VersionId> ignored_from_;  // this claim and newer claims are ignored
    Millis ignored_until_ = 0;               // until when they are ignored
    std::uint64_t calls_ = 0, unfounded_ = 0;
};

VersionId settings_version(const Versions& v);
VersionId list_version(const Versions& v);

}  // namespace ochregrade::replication
