// Table of the replicated state of all members of the fleet, including this member. The table selects members
// at random and makes the items of datagrams from records. It stores the latest time (Unix milliseconds) that
// the replica has passed in, and computes the remaining lifetime of records from that time.
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
        alive_only,   // dead or unknown members only if no other member is known and not dead
        alive_first,  // dead or unknown members only if there are too few others
    };

    /// `epoch`: Unix seconds of the process start; 0 counts as 1. Throws std::invalid_argument if `self` is
    /// not below `members`, or `members` is not 1 to kMaxMembers.
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

    std::size_t alive_count() const;  // members that are known and not dead, including this member
    std::size_t evidence_count() const;
    /// Number of members that are not dead and whose records say that they act on these versions. Includes
    /// this member.
    std::size_t acting_on(const Versions& versions) const;
    /// The latest known versions record of each other member that is not dead.
    std::vector<std::pair<MemberId, Record<Versions>>> versions() const;
    /// Up to `count` other members, drawn without replacement.
    std::vector<MemberId> random_others(Random& random, std::size_t count, Preference preference) const;

    /// Sets the latest time (Unix milliseconds); an earlier `now` is ignored.
    void advance_clock(Millis now) { now_ = std::max(now_, now); }
    /// Removes the expired evidence of all members; returns whether there was any.
    bool expire(Millis now);

    /// The item with the key; none if there is no such record or the remaining lifetime of evidence is below
    /// kLifetimeUnit.
    std::optional<Item> item(const UpdateKey& key) const;
    /// Items for the whole state of a member in this table; empty if the member is unknown.
    std::vector<Item> items_of(MemberId id) const;

private:
    MemberId self_;
    std::vector<OriginState> states_;
    Millis now_ = 0;
};

}  // namespace ochregrade::replication
