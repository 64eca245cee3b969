// Table of the replicated state of all members of the fleet, including this one. The table selects members at
// random, makes the items of datagrams from records, and holds the latest time seen (Unix milliseconds), from
// which the remaining lifetime of records is computed.
#pragma once

#include <compare>
#include <optional>
#include <utility>
#include <vector>

#include "common/random.hpp"
#include "replication/replica_options.hpp"

namespace ochregrade::replication {

/// Identifies one replicated item.
struct UpdateKey {
    enum class Subject : std::uint8_t { member, evidence, versions };
    Subject subject = Subject::member;
    MemberId origin = 0;
    EndpointKey endpoint = 0;  // used for evidence only
    auto operator<=>(const UpdateKey&) const = default;

    static UpdateKey member(MemberId origin) { return {Subject::member, origin, 0}; }
    static UpdateKey evidence(MemberId origin, EndpointKey endpoint) {
        return {Subject::evidence, origin, endpoint};
    }
    static UpdateKey versions(MemberId origin) { return {Subject::versions, origin, 0}; }
};

class MemberTable {
public:
    /// Which members a random selection prefers.
    enum class Preference {
        alive_only,   // dead or unknown members only if no other member is alive
        alive_first,  // dead or unknown members only to make up the number
    };

    /// `epoch`: Unix seconds of the process start. Throws std::invalid_argument if `self` is not below
    /// `members`, or `members` is not 1 to kMaxMembers.
    MemberTable(MemberId self, std::size_t members, std::uint32_t epoch);

    MemberId self() const { return self_; }
    std::size_t size() const { return states_.size(); }
    bool contains(MemberId id) const { return id < states_.size(); }
    const OriginState& at(MemberId id) const { return states_.at(id); }
    OriginState& at(MemberId id) { return states_.at(id); }
    const OriginState& own() const { return states_[self_]; }
    OriginState& own() { return states_[self_]; }
    /// Whether the member is known and not dead.
    bool is_alive(MemberId id) const;

    std::size_t alive_count() const;  // including this one
    std::size_t evidence_count() const;
    /// Number of members that act on these versions and are not dead, including this one.
    std::size_t acting_on(const Versions& versions) const;
    /// The versions that all other members act on, without those of dead members.
    std::vector<std::pair<MemberId, Record<Versions>>> versions() const;
    /// Up to `count` other members, drawn without replacement.
    std::vector<MemberId> random_others(Random& random, std::size_t count, Preference preference) const;

    /// Latest time seen (Unix milliseconds); it never goes back.
    void advance_clock(Millis now) { now_ = std::max(now_, now); }
    /// Removes expired evidence; returns whether there was any.
    bool expire(Millis now);

    /// None if there is no such record or its remaining lifetime is below kLifetimeUnit.
    std::optional<Item> item(const UpdateKey& key) const;
    /// Items for all state held of a member; empty if the member is unknown.
    std::vector<Item> items_of(MemberId id) const;

private:
    MemberId self_;
    std::vector<OriginState> states_;
    Millis now_ = 0;
};

}  // namespace ochregrade::replication
