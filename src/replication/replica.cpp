#include "replication/replica.hpp"

#include <algorithm>

namespace ochregrade::replication {

namespace {

// Combined with the seed, so that the replica's random numbers differ from those of other users of the seed.
constexpr std::uint64_t kSeedMask = 0x666c656574ULL;
// How far an epoch may be ahead of this sidecar's clock (seconds), because clocks differ. Epochs further
// ahead count as forged.
constexpr double kMaxEpochAhead = 3600;
// If advance() is called more than this many milliseconds later than due(), the process was paused.
constexpr Millis kMinPause = 1000;
constexpr Millis kExpiryPeriod = 200;  // milliseconds between removals of expired evidence
constexpr int kLeaveRounds = 2;        // gossip rounds that announce the shutdown, sent at once

}  // namespace

Replica::Replica(MemberId self, std::size_t members, std::uint32_t epoch, std::uint64_t seed, Options options)
    : options_(options),
      random_(seed ^ kSeedMask),
      members_(self, members, epoch),
      updates_(members_, ping_loss_, options_),
      sender_(members_, updates_, counts_),
      view_(members_, sender_, random_, counts_),
      broadcaster_(members_, updates_, sender_, options_),
      own_records_({members_, updates_, broadcaster_, view_, counts_}),
      failure_detector_({options_, members_, updates_, sender_, view_, ping_loss_, random_, counts_}),
      anti_entropy_(options_, members_, sender_, random_, counts_),
      catch_up_(options_, members_, anti_entropy_, sender_, random_) {}

// ---- Time ------------------------------------------------------------------------------------------------

void Replica::start(Millis now, std::vector<Outgoing>& out) {
    members_.advance_clock(now);
    broadcaster_.start(now);
    updates_.add(now, UpdateKey::member(self()));
    failure_detector_.start(now);
    anti_entropy_.start(now);
    next_expiry_ = now + kExpiryPeriod;
    catch_up_.start(now, out);
}

Millis Replica::due() const {
    return std::min({updates_.due(), broadcaster_.due(), failure_detector_.due(), anti_entropy_.due(),
                     catch_up_.due(), next_expiry_, view_.due()});
}

void Replica::advance(Millis now, std::vector<Outgoing>& out) {
    if (const Millis was_due = due(); was_due < kNever && now > was_due + kMinPause)
        process_paused(now, now - was_due, out);
    members_.advance_clock(now);
    if (left_) return;
    if (now >= next_expiry_) {
        if (members_.expire(now)) view_.mark_outdated();
        next_expiry_ = now + kExpiryPeriod;
    }
    failure_detector_.advance(now, out);
    catch_up_.advance(now, out);
    anti_entropy_.advance(now, out);
    if (now >= broadcaster_.due()) broadcaster_.send(now, out);
    if (now >= updates_.due()) gossip(now, out);
    view_.refresh(now, out);
}

void Replica::process_paused(Millis now, Millis pause, std::vector<Outgoing>& out) {
    ++counts_.process_pauses;
    failure_detector_.process_paused(now, pause);
    if (!left_) catch_up_.restart(now, out);
}

void Replica::gossip(Millis now, std::vector<Outgoing>& out) {
    const auto receivers = members_.random_others(random_, static_cast<std::size_t>(options_.fanout),
                                                  MemberTable::Preference::alive_only);
    for (const MemberId to : receivers) {
        if (updates_.empty()) break;
        sender_.send(to, sender_.make(Kind::gossip), out);
    }
    updates_.round_finished(now);
}

void Replica::leave(Millis now, std::vector<Outgoing>& out) {
    if (left_) return;
    members_.advance_clock(now);
    MemberState state = members_.own().member_state();
    state.status = Status::dead;
    members_.own().join(state);
    updates_.add(now, UpdateKey::member(self()));
    for (int round = 0; round < kLeaveRounds; ++round) gossip(now, out);
    left_ = true;
    next_expiry_ = kNever;
    updates_.stop();
    broadcaster_.stop();
    failure_detector_.stop();
    anti_entropy_.stop();
    catch_up_.stop();
    view_.stop();
}

// ---- Own records -----------------------------------------------------------------------------------------

void Replica::publish(Millis now, EndpointKey endpoint, Evidence evidence) {
    if (left_) return;
    members_.advance_clock(now);
    own_records_.publish(now, endpoint, evidence);
}

void Replica::publish(Millis now, const Versions& versions) {
    if (left_) return;
    members_.advance_clock(now);
    own_records_.publish(now, versions);
}

// ---- Datagrams of other members --------------------------------------------------------------------------

void Replica::receive(Millis now, MemberId from, std::span<const std::uint8_t> bytes,
                      std::vector<Outgoing>& out) {
    if (left_ || !members_.contains(from) || from == self()) return;
    members_.advance_clock(now);
    ++counts_.received;
    counts_.received_bytes += bytes.size();
    const std::variant<Datagram, DecodeError> decoded = decode(bytes);
    if (const auto* error = std::get_if<DecodeError>(&decoded)) {
        ++counts_.decode_errors[static_cast<std::size_t>(*error)];
        return;
    }
    process(now, from, std::get<Datagram>(decoded), out);
}

void Replica::process(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out) {
    catch_up_.resume(now);
    failure_detector_.received_from(from);
    // The sender is alive with the epoch and incarnation of the header. If the sender is suspect or dead in
    // the table with the same incarnation, the status does not change: only the sender's refutation, with a
    // higher incarnation, ends it.
    merge(now, MemberItem{from, {datagram.epoch, datagram.incarnation, Status::alive}, 0});
    merge_items(now, from, datagram);
    reply(now, from, datagram, out);
    // A sender of gossip that is suspect or dead in this member's table gets that state and can refute it.
    if (datagram.kind == Kind::gossip && members_.at(from).member_state().status != Status::alive &&
        anti_entropy_.admit_reply(now))
        sender_.send(from, sender_.make(Kind::gossip), out);
    view_.refresh(now, out);
}

void Replica::merge_items(Millis now, MemberId from, const Datagram& datagram) {
    const bool is_reply = datagram.kind == Kind::gossip && datagram.token != 0;
    const bool disseminate = datagram.kind != Kind::broadcast;
    for (const Item& item : datagram.items) {
        bool changed = false;
        if (const auto* member = std::get_if<MemberItem>(&item)) {
            changed = merge(now, *member);
            // If a reply shows that a member is alive, only this member did not know it, so the state is not
            // disseminated.
            if (changed && is_reply && member->state.status == Status::alive && member->member != self())
                updates_.remove(UpdateKey::member(member->member));
        } else if (const auto* evidence = std::get_if<EvidenceItem>(&item)) {
            changed = merge(now, from, *evidence, disseminate);
        } else if (const auto* versions = std::get_if<VersionsItem>(&item)) {
            changed = merge(now, from, *versions, disseminate);
        }
        counts_.repaired += changed && is_reply;
    }
}

void Replica::reply(Millis now, MemberId from, const Datagram& datagram, std::vector<Outgoing>& out) {
    switch (datagram.kind) {
        case Kind::ping:
            return failure_detector_.handle_ping(from, datagram, out);
        case Kind::probe:
            return failure_detector_.handle_probe_request(from, datagram, out);
        case Kind::ack:
            return failure_detector_.handle_ack(from, datagram, out);
        case Kind::digest:
            return anti_entropy_.reply_to_digest(now, from, datagram, out);
        case Kind::pull:
            return anti_entropy_.reply_to_pull(now, from, datagram, out);
        case Kind::summary:
            return anti_entropy_.reply_to_summary(now, from, datagram, out);
        case Kind::gossip:
            if (datagram.token != 0 && datagram.subject != 0) catch_up_.answered(from);
            return;
        case Kind::broadcast:
            return;
    }
}

// ---- Merging ---------------------------------------------------------------------------------------------

bool Replica::is_known_member(MemberId id) {
    if (members_.contains(id)) return true;
    ++counts_.unknown_members;
    return false;
}

bool Replica::is_plausible_epoch(Millis now, std::uint32_t epoch) {
    if (epoch < now / 1000 + kMaxEpochAhead) return true;
    ++counts_.implausible_epochs;
    return false;
}

bool Replica::merge(Millis now, const MemberItem& item) {
    if (!is_known_member(item.member)) return false;
    if (item.state.epoch == 0 || !is_plausible_epoch(now, item.state.epoch)) return false;
    if (item.member == self()) {
        own_records_.refute(now, item);
        return false;
    }
    OriginState& origin = members_.at(item.member);
    const bool changed = origin.join(item.state);
    if (changed) failure_detector_.member_state_changed(now, item.member);
    const bool same_epoch = item.state.epoch == origin.member_state().epoch;
    const bool expired = same_epoch && origin.raise_floor(item.floor);
    if (expired) view_.mark_outdated();
    return changed || expired;
}

bool Replica::merge(Millis now, MemberId from, const EvidenceItem& item, bool disseminate) {
    if (!is_known_member(item.origin)) return false;
    if (!is_plausible_epoch(now, item.epoch) || item.remaining == 0) return false;
    if (item.origin == self()) {
        own_records_.refute(now, item);
        return false;
    }
    OriginState& origin = members_.at(item.origin);
    const std::uint32_t epoch_before = origin.member_state().epoch;
    const Millis lifetime = std::min(kEvidenceLifetime, item.remaining * kLifetimeUnit);
    const Record<Evidence> record{item.sequence, item.evidence, now + lifetime, from == item.origin};
    const bool changed = origin.join(item.epoch, item.endpoint, record);
    if (origin.member_state().epoch != epoch_before) failure_detector_.member_state_changed(now, item.origin);
    view_.mark_outdated();  // also if only Record::direct has changed
    if (changed && disseminate && view_.reporters(item.endpoint) < kMaxDisseminatedOrigins)
        updates_.add(now, UpdateKey::evidence(item.origin, item.endpoint));
    return changed;
}

bool Replica::merge(Millis now, MemberId from, const VersionsItem& item, bool disseminate) {
    if (!is_known_member(item.origin)) return false;
    if (!is_plausible_epoch(now, item.epoch)) return false;
    if (item.origin == self()) {
        own_records_.refute(now, item);
        return false;
    }
    OriginState& origin = members_.at(item.origin);
    const std::uint32_t epoch_before = origin.member_state().epoch;
    const Record<Versions> record{item.sequence, item.versions, kNever, from == item.origin};
    const bool changed = origin.join(item.epoch, record);
    if (origin.member_state().epoch != epoch_before) failure_detector_.member_state_changed(now, item.origin);
    if (!changed) return false;
    view_.mark_members_changed();
    // The same versions are disseminated for at most kMaxDisseminatedOrigins members that act on them;
    // anti-entropy transfers the records of further members.
    if (disseminate && members_.acting_on(item.versions) <= kMaxDisseminatedOrigins)
        updates_.add(now, UpdateKey::versions(item.origin));
    return true;
}

}  // namespace ochregrade::replication
