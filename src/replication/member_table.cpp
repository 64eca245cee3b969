#include "replication/member_table.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace ochregrade::replication {

namespace {

std::uint8_t wire_lifetime(Millis remaining) {
    return static_cast<std::uint8_t>(std::clamp(std::floor(remaining / kLifetimeUnit), 0.0, 255.0));
}

void draw(Random& random, std::vector<MemberId>& from, std::size_t count, std::vector<MemberId>& chosen) {
    while (!from.empty() && chosen.size() < count) {
        const std::size_t at = random.below(from.size());
        chosen.push_back(from[at]);
        from[at] = from.back();
        from.pop_back();
    }
}

}  // namespace

MemberTable::MemberTable(MemberId self, std::size_t members, std::uint32_t epoch)
    : self_(self), states_(members) {
    if (members == 0 || members > kMaxMembers)
        throw std::invalid_argument("fleet: the number of members is 0 or over the limit");
    if (self >= members)
        throw std::invalid_argument("fleet: the member id is not below the number of members");
    own().join(MemberState{std::max<std::uint32_t>(epoch, 1), 0, Status::alive});
}

bool MemberTable::is_alive(MemberId id) const {
    const MemberState& state = states_[id].member_state();
    return state.epoch > 0 && state.status != Status::dead;
}

std::size_t MemberTable::alive_count() const {
    std::size_t alive = 0;
    for (std::size_t id = 0; id < states_.size(); ++id) alive += is_alive(static_cast<MemberId>(id));
    return alive;
}

std::size_t MemberTable::evidence_count() const {
    return std::accumulate(
        states_.begin(), states_.end(), std::size_t{0},
        [](std::size_t sum, const OriginState& state) { return sum + state.evidence().size(); });
}

std::size_t MemberTable::acting_on(const Versions& versions) const {
    const auto acts = [&](const OriginState& state) {
        return state.versions() && state.member_state().status != Status::dead &&
               state.versions()->value == versions;
    };
    return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), acts));
}

std::vector<std::pair<MemberId, Record<Versions>>> MemberTable::versions() const {
    std::vector<std::pair<MemberId, Record<Versions>>> all;
    for (std::size_t i = 0; i < states_.size(); ++i)
        if (i != self_ && states_[i].member_state().status != Status::dead && states_[i].versions())
            all.emplace_back(static_cast<MemberId>(i), *states_[i].versions());
    return all;
}

std::vector<MemberId> MemberTable::random_others(Random& random, std::size_t count,
                                                 Preference preference) const {
    std::vector<MemberId> alive;
    std::vector<MemberId> rest;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const auto id = static_cast<MemberId>(i);
        if (id != self_) (is_alive(id) ? alive : rest).push_back(id);
    }
    std::vector<MemberId> chosen;
    draw(random, alive, count, chosen);
    if (preference == Preference::alive_first || chosen.empty()) draw(random, rest, count, chosen);
    return chosen;
}

bool MemberTable::expire(Millis now) {
    bool expired = false;
    for (OriginState& state : states_) expired |= state.expire(now);
    return expired;
}

std::optional<Item> MemberTable::item(const UpdateKey& key) const {
    const OriginState& state = states_[key.origin];
    const std::uint32_t epoch = state.member_state().epoch;
    switch (key.subject) {
        case UpdateKey::Subject::member:
            return MemberItem{key.origin, state.member_state(), state.floor()};
        case UpdateKey::Subject::evidence: {
            const auto found = state.evidence().find(key.endpoint);
            if (found == state.evidence().end()) return {};
            const Record<Evidence>& record = found->second;
            const Millis remaining = record.expires - now_;
            if (remaining < kLifetimeUnit) return {};
            return EvidenceItem{key.origin,      epoch,        key.endpoint,
                                record.sequence, record.value, wire_lifetime(remaining)};
        }
        case UpdateKey::Subject::versions:
            if (!state.versions()) return {};
            return VersionsItem{key.origin, epoch, state.versions()->sequence, state.versions()->value};
    }
    return {};
}

std::vector<Item> MemberTable::items_of(MemberId id) const {
    std::vector<Item> items;
    const OriginState& state = states_[id];
    if (state.member_state().epoch == 0) return items;
    items.push_back(*item(UpdateKey::member(id)));
    for (const auto& [endpoint, record] : state.evidence())
        if (const auto evidence = item(UpdateKey::evidence(id, endpoint))) items.push_back(*evidence);
    if (const auto versions = item(UpdateKey::versions(id))) items.push_back(*versions);
    return items;
}

}  // namespace ochregrade::replication
