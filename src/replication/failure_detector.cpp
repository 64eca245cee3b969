#include "replication/failure_detector.hpp"

#include <algorithm>
#include <cmath>

namespace ochregrade::replication {

namespace {

// Upper bound of the probability that a probe of a running member fails. The number of pings for which a
// probe has time, at most kMaxPings, follows from this bound and the share of lost pings. If the share is so
// high that more than kMaxPings pings were needed, the bound does not hold.
constexpr double kMaxFalsePositiveRate = 0.002;
constexpr double kMaxPings = 25;
constexpr double kMinLoss = 0.01;            // lower bound of the share of lost pings in this computation
constexpr double kMaxLoss = 0.99;            // upper bound of that share
constexpr double kMinSuspicionProbes = 2.0;  // probe intervals until a suspicion expires, at least
constexpr double kDirectPingers = 24;        // members of the fleet, on average, that ping a suspect directly
// Probability that this member, when it starts a probe, also pings a random dead or unknown member, because
// that member may have restarted or a partition may have healed.
constexpr double kUnreachablePingProbability = 0.5;

}  // namespace

void FailureDetector::start(Millis now) {
    // The first delay is random, so that members that start at the same moment do not probe at the same
    // times.
    next_probe_ = now + parts_.options.probe_period * parts_.random.unit();
}

void FailureDetector::stop() {
    next_probe_ = kNever;
    suspicions_.clear();
    direct_pings_.clear();
    probe_.active = false;
}

Millis FailureDetector::due() const {
    Millis first = next_probe_;
    if (probe_.active) first = std::min(first, probe_.retry_at);
    for (const auto& [id, until] : suspicions_) first = std::min(first, until);
    for (const auto& [id, at] : direct_pings_) first = std::min(first, at);
    return first;
}

void FailureDetector::advance(Millis now, std::vector<Outgoing>& out) {
    ping_suspects(now, out);
    expire_suspicions(now);
    if (probe_.active && now >= probe_.retry_at && now < next_probe_) ping_target(now, out);
    if (now < next_probe_) return;
    end_probe(now);
    next_probe_ = now + probe_interval();
    start_probe(now, out);
}

void FailureDetector::process_paused(Millis now, Millis pause) {
    probe_.active = false;
    for (auto& [id, until] : suspicions_) until += pause;
    for (auto& [id, at] : direct_pings_) at += pause;
    next_probe_ = std::max(next_probe_, now + parts_.options.probe_period * parts_.random.unit());
}

// ---- Probes ----------------------------------------------------------------------------------------------

void FailureDetector::start_probe(Millis now, std::vector<Outgoing>& out) {
    ping_unreachable_member(out);
    for (int attempt = 0; attempt < 2; ++attempt) {  // first the rest of this round, then a new round
        while (!round_.empty()) {
            const MemberId target = round_.back();
            round_.pop_back();
            if (!parts_.members.is_alive(target)) continue;
            probe_ = {.target = target,
                      .token = parts_.sender.next_token(),
                      .retry_at = now,
                      .loss_before = parts_.ping_loss.share(),
                      .active = true,
                      .indirect_probes_requested = false,
                      .first_ping = true};
            ping_target(now, out);
            return;
        }
        shuffle_round();
    }
}

void FailureDetector::ping_unreachable_member(std::vector<Outgoing>& out) {
    std::vector<MemberId> unreachable;  // dead, or unknown
    for (std::size_t i = 0; i < parts_.members.size(); ++i) {
        const auto id = static_cast<MemberId>(i);
        if (id != parts_.members.self() && !parts_.members.is_alive(id)) unreachable.push_back(id);
    }
    if (unreachable.empty() || parts_.random.unit() >= kUnreachablePingProbability) return;
    Datagram ping = parts_.sender.make(Kind::ping);
    ping.token = parts_.sender.next_token();
    parts_.sender.send(unreachable[parts_.random.below(unreachable.size())], std::move(ping), out);
}

void FailureDetector::shuffle_round() {
    for (std::size_t i = 0; i < parts_.members.size(); ++i)
        if (i != parts_.members.self()) round_.push_back(static_cast<MemberId>(i));
    for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[parts_.random.below(i)]);
}

void FailureDetector::ping_target(Millis now, std::vector<Outgoing>& out) {
    const bool first = probe_.first_ping;
    probe_.first_ping = false;
    parts_.ping_loss.sent();
    probe_.retry_at = now + parts_.options.ack_timeout;
    Datagram ping = parts_.sender.make(Kind::ping);
    ping.token = probe_.token;
    ping.subject = probe_.target;
    parts_.sender.send(probe_.target, std::move(ping), out);
    if (!first && !probe_.indirect_probes_requested) request_indirect_probes(out);
}

// Asks other members to ping the target too. Called once per probe, at the second ping.
void FailureDetector::request_indirect_probes(std::vector<Outgoing>& out) {
    probe_.indirect_probes_requested = true;
    const auto helpers =
        parts_.members.random_others(parts_.random, static_cast<std::size_t>(parts_.options.indirect_probes),
                                     MemberTable::Preference::alive_only);
    for (const MemberId helper : helpers) {
        if (helper == probe_.target) continue;
        Datagram request = parts_.sender.make(Kind::probe);
        request.token = probe_.token;
        request.subject = probe_.target;
        parts_.sender.send(helper, std::move(request), out);
    }
}

void FailureDetector::end_probe(Millis now) {
    if (!probe_.active) return;
    probe_.active = false;
    parts_.ping_loss.restore(probe_.loss_before);  // a failed member sends no acks, also without loss
    if (parts_.members.at(probe_.target).member_state().status != Status::alive) return;
    ++parts_.counts.suspected;
    set_status(now, probe_.target, Status::suspect);
}

Millis FailureDetector::probe_interval() const {
    const double loss = std::clamp(parts_.ping_loss.share(), kMinLoss, kMaxLoss);
    const double pings = std::min(kMaxPings, std::ceil(std::log(kMaxFalsePositiveRate) / std::log(loss)));
    return std::max(parts_.options.probe_period, pings * parts_.options.ack_timeout);
}

// ---- Suspicion -------------------------------------------------------------------------------------------

Millis FailureDetector::suspicion_timeout() const {
    const auto members = static_cast<double>(parts_.members.size());
    return probe_interval() *
           std::max(kMinSuspicionProbes, parts_.options.suspicion_multiplier * std::log2(members + 1));
}

void FailureDetector::expire_suspicions(Millis now) {
    std::vector<MemberId> expired;
    for (const auto& [id, until] : suspicions_)
        if (now >= until) expired.push_back(id);
    for (const MemberId id : expired) {
        ++parts_.counts.declared_dead;
        set_status(now, id, Status::dead);
    }
}

void FailureDetector::set_status(Millis now, MemberId id, Status status) {
    MemberState state = parts_.members.at(id).member_state();
    state.status = status;
    parts_.members.at(id).join(state);
    member_state_changed(now, id);
}

void FailureDetector::member_state_changed(Millis now, MemberId id) {
    parts_.view.mark_members_changed();
    parts_.updates.add(now, UpdateKey::member(id));
    direct_pings_.erase(id);
    if (parts_.members.at(id).member_state().status != Status::suspect) {
        suspicions_.erase(id);
        return;
    }
    const Millis time = suspicion_timeout();
    suspicions_[id] = now + time;
    // On average kDirectPingers members of the fleet ping the suspect `id` directly, at a random time before
    // the suspicion expires. The ping contains the suspicion, and the ack contains the refutation.
    if (parts_.random.unit() * static_cast<double>(parts_.members.size()) < kDirectPingers)
        direct_pings_[id] = now + time * parts_.random.unit();
}

void FailureDetector::ping_suspects(Millis now, std::vector<Outgoing>& out) {
    std::erase_if(direct_pings_, [&](const auto& entry) {
        const auto& [id, at] = entry;
        if (now < at) return false;
        Datagram ping = parts_.sender.make(Kind::ping);
        ping.subject = id;
        parts_.sender.send(id, std::move(ping), out);
        return true;
    });
}

// ---- Datagrams of other members --------------------------------------------------------------------------

void FailureDetector::received_from(MemberId from) {
    if (!probe_.active || probe_.target != from) return;
    probe_.active = false;
    parts_.ping_loss.answered();
}

void FailureDetector::handle_ping(MemberId from, const Datagram& ping, std::vector<Outgoing>& out) {
    Datagram ack = parts_.sender.make(Kind::ack);
    ack.token = ping.token;
    ack.subject = parts_.members.self();
    parts_.sender.send(from, std::move(ack), out);
}

void FailureDetector::handle_probe_request(MemberId from, const Datagram& request,
                                           std::vector<Outgoing>& out) {
    if (!parts_.members.contains(request.subject) || request.subject == parts_.members.self()) return;
    RelayedProbe& relayed = relayed_[next_relayed_++ % relayed_.size()];
    relayed = {parts_.sender.next_token(), request.token, from, request.subject, true};
    Datagram ping = parts_.sender.make(Kind::ping);
    ping.token = relayed.own_token;
    ping.subject = request.subject;
    parts_.sender.send(request.subject, std::move(ping), out);
}

void FailureDetector::handle_ack(MemberId from, const Datagram& ack, std::vector<Outgoing>& out) {
    if (probe_.active && ack.token == probe_.token && ack.subject == probe_.target) probe_.active = false;
    for (RelayedProbe& relayed : relayed_) {
        if (!relayed.active || relayed.own_token != ack.token || relayed.target != from) continue;
        relayed.active = false;
        Datagram forwarded = parts_.sender.make(Kind::ack);
        forwarded.token = relayed.requester_token;
        forwarded.subject = relayed.target;
        parts_.sender.send(relayed.requester, std::move(forwarded), out);
    }
}

}  // namespace ochregrade::replication
