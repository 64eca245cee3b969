// Whether the others act on newer versions than this sidecar, and when to ask for them: soon, not all at
// once, and ever more seldom where what was claimed is not to be had. No sockets, no clock; it fetches
// nothing.
#pragma once

#include <optional>
#include <span>

#include "replication/replica.hpp"

namespace ochregrade::replication {

struct Pace {
    Millis grace = 150;      // whoever is told by the ordinary way within this need not ask
    Millis spread = 250;     // the askers' calls fall evenly in so much more
    Millis again = 300;      // the first wait after a call that did not bring it; doubles
    Millis longest = 10000;  // up to this
};
constexpr Pace kListPace{};
constexpr Pace kSettingsPace{200, 500, 500, 10000};

// A place in an order of versions: (epoch, hash) of settings or (incarnation, number) of a list.
struct VersionId {
    std::uint32_t major = 0, minor = 0;
    auto operator<=>(const VersionId&) const = default;
};

// One thing that has versions.
class VersionFollower {
public:
    VersionFollower(Pace pace, std::uint64_t seed) : pace_(pace), random_(seed) {}

    // What this sidecar acts on, and what others say they do.
    void observe(Millis now, const VersionId& own, std::span<const VersionId> claims);
    // When to ask; none: there is nothing to ask for.
    std::optional<Millis> due() const { return due_; }
    // It has asked. What was claimed and does not come is asked for again, later each time.
    void requested(Millis now);

    bool behind() const { return claimed_.has_value(); }
    const std::optional<VersionId>& claimed() const { return claimed_; }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t unfounded() const { return unfounded_; }  // claims that nothing was found of

private:
    Pace pace_;
    Random random_;
    std::optional<VersionId> claimed_;
    std::optional<Millis> due_;
    Millis wait_ = 0;
    int in_vain_ = 0;                // calls for this claim
    std::optional<VersionId> void_;  // from there on claims were unfounded,
    Millis void_until_ = 0;          // and are not heeded until then
    std::uint64_t calls_ = 0, unfounded_ = 0;
};

VersionId settings_place(const Versions& v);
VersionId list_place(const Versions& v);

}  // namespace ochregrade::replication
