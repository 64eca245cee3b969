// Follows the versions that other members claim to act on and decides when to request a newer one: soon, not
// all members at once, and with growing backoff where a claimed version can't be had. Times are Unix
// milliseconds. No I/O and no clock: the caller fetches. Source: docs/CONFIGURATION.md.
#pragma once

#include <optional>
#include <span>

#include "replication/replica.hpp"

namespace ochregrade::replication {

/// When a newer version is requested (milliseconds).
struct RequestPacing {
    Millis grace = 150;        // time for the version to arrive by the ordinary way
    Millis spread = 250;       // requests of the fleet are spread over this much more
    Millis first_retry = 300;  // wait after a first request without success; doubles
    Millis max_retry = 10000;
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

    /// What this sidecar acts on, and what the others claim to act on.
    void observe(Millis now, const VersionId& own, std::span<const VersionId> claims);
    /// When to request the claimed version; none: there is nothing to request.
    std::optional<Millis> due() const { return due_; }
    /// A request was sent. Without success it is repeated, later each time.
    void requested(Millis now);

    bool behind() const { return claimed_.has_value(); }
    const std::optional<VersionId>& claimed() const { return claimed_; }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t unfounded() const { return unfounded_; }  // claims given up

private:
    RequestPacing pacing_;
    Random random_;
    std::optional<VersionId> claimed_;
    std::optional<Millis> due_;
    Millis backoff_ = 0;
    int failed_requests_ = 0;                // for this claim
    std::optional<VersionId> ignored_from_;  // claims of this version and newer ones
    Millis ignored_until_ = 0;               // are ignored until then
    std::uint64_t calls_ = 0, unfounded_ = 0;
};

VersionId settings_version(const Versions& v);
VersionId list_version(const Versions& v);

}  // namespace ochregrade::replication
