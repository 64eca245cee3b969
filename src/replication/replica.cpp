#include "replication/replica.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <stdexcept>

namespace ochregrade::replication {

namespace {

// A life may be ahead of the reader's clock by this much (seconds): clocks differ, forgers would go further.
constexpr double kFarLife = 3600;
// Called so much later than was due, this process stood still, and silence says nothing of the others.
constexpr Millis kStall = 1000;
// How many datagrams one answer to a digest, a summary or a pull may take, and all together a second.
constexpr std::size_t kAnswer = 8, kPullAnswer = 40;
constexpr double kAllowance = 100;
// Pulls: to so many at once, until as many have answered, again after, this many times.
constexpr std::size_t kPulled = 3, kAnswered = 2;
constexpr Millis kPullAgain = 250;
constexpr int kPulls = 12;
constexpr Millis kExpiryPeriod = 200;
constexpr Millis kLookPeriod = 50;  // how often the view is put together, while things change
// The records of so many origins that complain of a server travel as news; of more, by digests: they no
// longer change what is known.
constexpr std::uint32_t kNewsOrigins = 4;
// Evidence, and that a member has come up, goes on this share of the times: several say the same, and digests
// find what is missing.
constexpr double kFewRepeats = 0.4;
constexpr int kLeastRepeats = 4;  // a few members lose as many datagrams as many do
// What is said against a server in others' names is believed once so many of them say so themselves.
constexpr std::uint32_t kWitnesses = 3;
constexpr std::size_t kMostConfirmed = 8;  // asked at a time
constexpr Millis kConfirmEvery = 500;      // and no more often
constexpr std::size_t kMostNews = 4096;
// A member that is there fails a probe with this chance at most: so many pings it takes, given how many get
// lost. At least a period's worth, at most kPings.
constexpr double kFalseSilence = 0.002;
constexpr double kPings = 25;
constexpr double kCalls = 24;         // to a suspect, by all together
constexpr double kPingWeight = 0.05;  // of each in the share unanswered
constexpr Millis kNewLifeEvery = 1000;
constexpr std::uint32_t kMostCount = 1u << 30;
// What is shouted within this goes in one datagram. At most so many shouts at a stretch.
constexpr Millis kBreath = 20;
constexpr double kVoice = 3;
constexpr Millis kTenth = 100;

std::uint8_t tenths(Millis left) {
    return static_cast<std::uint8_t>(std::clamp(std::floor(left / kTenth), 0.0, 255.0));
}

}  // namespace

Replica::Replica(MemberId self, std::size_t members, std::uint32_t life, std::uint64_t seed, Options options)
    : self_(self), options_(options), random_(seed ^ 0x666c656574ULL), states_(members) {
    if (members == 0 || members > kMaxMembers) throw std::invalid_argument("fleet: too many members or none");
    if (self >= members) throw std::invalid_argument("fleet: a number beyond the members");
    own().join(MemberState{std::max<std::uint32_t>(life, 1), 0, Status::alive});
}

// ---- What is due ------------------------------------------------------------------------------------------

void Replica::start(Millis now, std::vector<Outgoing>& out) {
    now_ = now;
    allowance_ = kAllowance, allowance_at_ = now;
    voice_ = kVoice, voice_at_ = now;
    news(now, {What::member, self_, 0});
    // Not in step with the others that start at the same moment.
    next_probe_ = now + options_.probe_period * random_.unit();
    next_sync_ = options_.repair ? now + options_.sync_period * (0.5 + random_.unit()) : kNever;
    next_expiry_ = now + kExpiryPeriod;
    if (states_.size() == 1 || !options_.repair) {
        caught_up_ = true;
        return;
    }
    pull(now, out);
}

Millis Replica::due() const {
    Millis first = std::min({next_gossip_, shout_at_, next_probe_, next_sync_, next_pull_, next_expiry_});
    if (probe_.open) first = std::min(first, probe_.again);
    for (const auto& [id, until] : suspects_) first = std::min(first, until);
    for (const auto& [id, at] : calls_) first = std::min(first, at);
    return dirty_ ? std::min(first, looked_ + kLookPeriod) : first;
}

void Replica::advance(Millis now, std::vector<Outgoing>& out) {
    if (const Millis was_due = due(); was_due < kNever && now > was_due + kStall)
        stalled(now, now - was_due, out);
    now_ = std::max(now_, now);
    if (left_) return;
    if (now >= next_expiry_) {
        for (OriginState& state : states_) dirty_ |= state.expire(now);
        next_expiry_ = now + kExpiryPeriod;
    }
    call_suspects(now, out);
    time_out_suspects(now);
    if (probe_.open && now >= probe_.again && now < next_probe_) probe_again(now, out);
    if (now >= next_probe_) {
        probe_over(now);
        next_probe_ = now + probe_time();
        probe_next(now, out);
    }
    if (now >= next_pull_) pull(now, out);
    if (now >= next_sync_) {
        next_sync_ = now + options_.sync_period * (0.75 + 0.5 * random_.unit());
        sync(out);
    }
    if (now >= shout_at_) shout(now, out);
    if (now >= next_gossip_) gossip(now, out);
    if (dirty_ && now >= looked_ + kLookPeriod) look(now, out);
}

// Whoever stood still has heard nothing meanwhile: the silence was its own.
void Replica::stalled(Millis now, Millis by, std::vector<Outgoing>& out) {
    ++counts_.stalls;
    probe_.open = false;
    for (auto& [id, until] : suspects_) until += by;
    for (auto& [id, at] : calls_) at += by;
    next_probe_ = std::max(next_probe_, now + options_.probe_period * random_.unit());
    if (!options_.repair || left_) return;
    pulls_ = 0, caught_up_ = states_.size() == 1;
    answered_.clear();
    pull(now, out);
}

void Replica::leave(Millis now, std::vector<Outgoing>& out) {
    if (left_) return;
    now_ = std::max(now_, now);
    MemberState gone = own().standing();
    gone.status = Status::dead;
    own().join(gone);
    news(now, {What::member, self_, 0});
    for (int round = 0; round < 2; ++round) gossip(now, out);
    left_ = true;
    next_gossip_ = shout_at_ = next_probe_ = next_sync_ = next_pull_ = next_expiry_ = kNever;
    suspects_.clear(), calls_.clear(), probe_.open = false, dirty_ = false;
}

// ---- Datagrams out ----------------------------------------------------------------------------------------

Datagram Replica::head(Kind kind) const {
    Datagram d;
    d.kind = kind;
    d.life = states_[self_].standing().epoch;
    d.incarnation = states_[self_].standing().incarnation;
    return d;
}

// News rides on whatever goes out. Who is held to be suspect or dead is told so first: only it can refute
// that.
void Replica::send(MemberId to, Datagram datagram, std::vector<Outgoing>& out, bool with_news) {
    if (to == self_ || to >= states_.size()) return;
    const OriginState& receiver = states_[to];
    if (receiver.standing().status != Status::alive)
        datagram.add(MemberItem{to, receiver.standing(), receiver.top_count()});
    // What we act on goes with each ping and ack: whoever was cut off hears of it within a probe's time.
    if (datagram.kind == Kind::ping || datagram.kind == Kind::ack)
        if (const auto item = item_of({What::versions, self_, 0})) datagram.add(*item);
    if (with_news) add_news(datagram, to);
    out.push_back({to, encode(datagram)});
    ++counts_.sent;
    counts_.sent_bytes += out.back().bytes.size();
}

int Replica::repeats() const {
    const double times = options_.repeats * std::log10(static_cast<double>(states_.size()) + 1);
    // Both ways of a ping are lost alike: what gets through one way is the root of what gets through both.
    return std::max(kLeastRepeats,
                    static_cast<int>(std::ceil(times / std::sqrt(1 - std::min(0.9, unanswered_)))));
}

std::optional<Item> Replica::item_of(const NewsKey& key) const {
    const OriginState& state = states_[key.origin];
    switch (key.what) {
        case What::member:
            return MemberItem{key.origin, state.standing(), state.floor()};
        case What::evidence: {
            const auto at = state.evidence().find(key.server);
            if (at == state.evidence().end() || at->second.expires - now_ < kTenth) return {};
            return EvidenceItem{key.origin,       state.standing().epoch, key.server,
                                at->second.count, at->second.value,       tenths(at->second.expires - now_)};
        }
        case What::versions:
            if (!state.versions()) return {};
            return VersionsItem{key.origin, state.standing().epoch, state.versions()->count,
                                state.versions()->value};
    }
    return {};
}

void Replica::news(Millis now, const NewsKey& key) {
    if (news_.size() >= kMostNews && !news_.count(key)) return;  // digests will find it
    news_[key] = 0;
    if (next_gossip_ == kNever) next_gossip_ = std::max(now, last_gossip_ + options_.gossip_period);
}

// The least often sent goes first; its own turn over, an item is no news any more.
void Replica::add_news(Datagram& datagram, MemberId to) {
    if (news_.empty()) return;
    std::vector<std::map<NewsKey, int>::iterator> order;
    order.reserve(news_.size());
    for (auto at = news_.begin(); at != news_.end(); ++at)
        if (at->first.origin != to || at->first.what == What::member) order.push_back(at);
    const std::size_t most = std::min<std::size_t>(order.size(), kLongest / 15);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(most), order.end(),
                      [](const auto& a, const auto& b) { return a->second < b->second; });
    const int enough = repeats();
    const int enough_few = std::max(2, static_cast<int>(std::ceil(kFewRepeats * enough)));
    for (std::size_t i = 0; i < most; ++i) {
        const auto item = item_of(order[i]->first);
        if (item && !datagram.add(*item)) continue;
        const auto* m = item ? std::get_if<MemberItem>(&*item) : nullptr;
        const bool few = order[i]->first.what == What::evidence ||
                         (m && m->standing.status == Status::alive && m->standing.incarnation == 0);
        if (!item || ++order[i]->second >= (few ? enough_few : enough)) news_.erase(order[i]);
    }
}

void Replica::gossip(Millis now, std::vector<Outgoing>& out) {
    for (const MemberId to : some(static_cast<std::size_t>(options_.fanout), true)) {
        if (news_.empty()) break;
        send(to, head(Kind::gossip), out);
    }
    last_gossip_ = now;
    next_gossip_ = news_.empty() ? kNever : now + options_.gossip_period;
}

// What few know yet and all should goes to all at once, within a share of what the whole tier may shout.
void Replica::shout(Millis now, std::vector<Outgoing>& out) {
    shout_at_ = kNever;
    Datagram datagram = head(Kind::shout);
    if (loud_versions_)
        if (const auto item = item_of({What::versions, self_, 0})) datagram.add(*item);
    loud_versions_ = false;
    for (const EndpointKey server : loud_)
        if (const auto item = item_of({What::evidence, self_, server}))
            if (!datagram.add(*item)) news(now, {What::evidence, self_, server});
    loud_.clear();
    if (datagram.items.empty()) return;
    out.push_back({kAll, encode(datagram)});
    ++counts_.shouts;
    counts_.sent += states_.size() - 1;
    counts_.sent_bytes += out.back().bytes.size() * (states_.size() - 1);
}

// Others at random: those believed alive, and where there are too few of them anybody.
std::vector<MemberId> Replica::some(std::size_t count, bool only_alive) {
    std::vector<MemberId> likely, rest;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        if (i == self_) continue;
        const MemberState& s = states_[i].standing();
        (s.epoch > 0 && s.status != Status::dead ? likely : rest).push_back(static_cast<MemberId>(i));
    }
    const auto draw = [&](std::vector<MemberId>& from, std::vector<MemberId>& into) {
        while (!from.empty() && into.size() < count) {
            const std::size_t at = random_.below(from.size());
            into.push_back(from[at]);
            from[at] = from.back();
            from.pop_back();
        }
    };
    std::vector<MemberId> chosen;
    draw(likely, chosen);
    if (!only_alive || chosen.empty()) draw(rest, chosen);
    return chosen;
}

// ---- Membership -------------------------------------------------------------------------------------------

void Replica::probe_next(Millis now, std::vector<Outgoing>& out) {
    std::vector<MemberId> silent;  // dead, or never heard of
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const MemberState& s = states_[i].standing();
        if (i != self_ && (s.epoch == 0 || s.status == Status::dead))
            silent.push_back(static_cast<MemberId>(i));
    }
    // One held to be dead may be back, or on the other side of a partition that has healed.
    if (!silent.empty() && random_.unit() < 0.5) {
        Datagram ping = head(Kind::ping);
        ping.token = next_token_++;
        send(silent[random_.below(silent.size())], std::move(ping), out);
    }
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!round_.empty()) {
            const MemberId target = round_.back();
            round_.pop_back();
            const MemberState& s = states_[target].standing();
            if (s.epoch == 0 || s.status == Status::dead) continue;
            probe_ = {target, next_token_++, now, unanswered_, true, false, true};
            return probe_again(now, out);
        }
        for (std::size_t i = 0; i < states_.size(); ++i)
            if (i != self_) round_.push_back(static_cast<MemberId>(i));
        for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[random_.below(i)]);
    }
}

// Directly, and from the second time on through others too: once, since theirs are many.
void Replica::probe_again(Millis now, std::vector<Outgoing>& out) {
    const bool first = probe_.first;
    probe_.first = false;
    unanswered_ += (1 - unanswered_) * kPingWeight;  // taken back by the ack
    probe_.again = now + options_.ack_time;
    Datagram ping = head(Kind::ping);
    ping.token = probe_.token, ping.subject = probe_.target;
    send(probe_.target, std::move(ping), out);
    if (first || probe_.indirect) return;
    probe_.indirect = true;
    for (const MemberId helper : some(static_cast<std::size_t>(options_.indirect), true)) {
        if (helper == probe_.target) continue;
        Datagram ask = head(Kind::probe);
        ask.token = probe_.token, ask.subject = probe_.target;
        send(helper, std::move(ask), out);
    }
}

void Replica::probe_over(Millis now) {
    if (!probe_.open) return;
    probe_.open = false;
    unanswered_ = probe_.before;  // that is silence of its own, and says nothing of the network
    MemberState s = states_[probe_.target].standing();
    if (s.status != Status::alive) return;
    s.status = Status::suspect;
    ++counts_.suspected;
    states_[probe_.target].join(s);
    standing_changed(now, probe_.target);
}

Millis Replica::probe_time() const {
    const double lost = std::clamp(unanswered_, 0.01, 0.99);
    const double pings = std::min(kPings, std::ceil(std::log(kFalseSilence) / std::log(lost)));
    return std::max(options_.probe_period, pings * options_.ack_time);
}

Millis Replica::suspicion_time() const {
    return probe_time() *
           std::max(2.0, options_.suspicion * std::log2(static_cast<double>(states_.size()) + 1));
}

void Replica::time_out_suspects(Millis now) {
    std::vector<MemberId> over;
    for (const auto& [id, until] : suspects_)
        if (now >= until) over.push_back(id);
    for (const MemberId id : over) {
        MemberState s = states_[id].standing();
        s.status = Status::dead;
        ++counts_.died;
        states_[id].join(s);
        standing_changed(now, id);
    }
}

void Replica::standing_changed(Millis now, MemberId id) {
    dirty_ = moved_ = true;
    news(now, {What::member, id, 0});
    calls_.erase(id);
    if (states_[id].standing().status != Status::suspect) {
        suspects_.erase(id);
        return;
    }
    const Millis time = suspicion_time();
    suspects_[id] = now + time;
    // A few of all who hold it suspect ask it themselves: the ping tells it, the ack has its answer.
    if (random_.unit() * static_cast<double>(states_.size()) < kCalls)
        calls_[id] = now + time * random_.unit();
}

void Replica::call_suspects(Millis now, std::vector<Outgoing>& out) {
    std::erase_if(calls_, [&](const auto& call) {
        if (now < call.second) return false;
        Datagram ping = head(Kind::ping);
        ping.subject = call.first;
        send(call.first, std::move(ping), out);
        return true;
    });
}

// ---- Datagrams in -----------------------------------------------------------------------------------------

void Replica::receive(Millis now, MemberId from, std::span<const std::uint8_t> bytes,
                      std::vector<Outgoing>& out) {
    if (left_ || from >= states_.size() || from == self_) return;
    now_ = std::max(now_, now);
    ++counts_.received;
    counts_.received_bytes += bytes.size();
    const std::variant<Datagram, Fault> decoded = decode(bytes);
    if (const Fault* fault = std::get_if<Fault>(&decoded)) {
        ++counts_.faults[static_cast<std::size_t>(*fault)];
        return;
    }
    heard(now, from, std::get<Datagram>(decoded), out);
}

void Replica::heard(Millis now, MemberId from, const Datagram& d, std::vector<Outgoing>& out) {
    if (!caught_up_ && next_pull_ == kNever && options_.repair) pulls_ = 0, next_pull_ = now;
    // Whoever sends is alive; what the others hold against it, it will hear and refute.
    if (probe_.open && probe_.target == from) {
        probe_.open = false;
        unanswered_ = std::max(0.0, (unanswered_ - kPingWeight) / (1 - kPingWeight)) * (1 - kPingWeight);
    }
    take(now, from, MemberItem{from, {d.life, d.incarnation, Status::alive}, 0});
    const bool answer_to_me = d.kind == Kind::gossip && d.token != 0;
    for (const Item& item : d.items) {
        bool changed = false;
        if (const auto* m = std::get_if<MemberItem>(&item)) {
            changed = take(now, from, *m);
            // What an answer brings of those alive, others have had before.
            if (changed && answer_to_me && m->standing.status == Status::alive && m->member != self_)
                news_.erase({What::member, m->member, 0});
        }
        if (const auto* e = std::get_if<EvidenceItem>(&item))
            changed = take(now, from, *e, d.kind != Kind::shout);
        if (const auto* v = std::get_if<VersionsItem>(&item))
            changed = take(now, from, *v, d.kind != Kind::shout);
        counts_.repaired += changed && answer_to_me;
    }
    switch (d.kind) {
        case Kind::ping: {
            Datagram ack = head(Kind::ack);
            ack.token = d.token, ack.subject = self_;
            send(from, std::move(ack), out);
            break;
        }
        case Kind::probe: {
            if (d.subject >= states_.size() || d.subject == self_) break;
            Relayed& r = relayed_[next_relayed_++ % relayed_.size()];
            r = {next_token_++, d.token, from, d.subject, true};
            Datagram ping = head(Kind::ping);
            ping.token = r.mine, ping.subject = d.subject;
            send(d.subject, std::move(ping), out);
            break;
        }
        case Kind::ack: {
            if (probe_.open && d.token == probe_.token && d.subject == probe_.target) probe_.open = false;
            for (Relayed& r : relayed_) {
                if (!r.open || r.mine != d.token || r.target != from) continue;
                r.open = false;
                Datagram ack = head(Kind::ack);
                ack.token = r.theirs, ack.subject = r.target;
                send(r.asked_by, std::move(ack), out);
            }
            break;
        }
        case Kind::shout:
            break;
        case Kind::gossip:
            if (d.token != 0 && d.subject != 0 && next_pull_ < kNever &&
                std::find(answered_.begin(), answered_.end(), from) == answered_.end()) {
                answered_.push_back(from);
                if (answered_.size() >= std::min(kAnswered, states_.size() - 1))
                    caught_up_ = true, next_pull_ = kNever;
            }
            break;
        case Kind::digest:
            answer_digest(now, from, d, out);
            break;
        case Kind::pull:
            answer_pull(now, from, d, out);
            break;
        case Kind::summary:
            answer_summary(now, from, d, out);
            break;
    }
    // One that we hold to be dead, or suspect, though it speaks: it must hear of it.
    if (d.kind == Kind::gossip && states_[from].standing().status != Status::alive && allowed(now))
        send(from, head(Kind::gossip), out);
    if (dirty_ && now >= looked_ + kLookPeriod) look(now, out);
}

bool Replica::believable(Millis now, std::uint32_t life) {
    if (life < now / 1000 + kFarLife) return true;
    ++counts_.far_lives;
    return false;
}

bool Replica::take(Millis now, MemberId, const MemberItem& item) {
    if (item.member >= states_.size()) return ++counts_.unknown_members, false;
    if (item.standing.epoch == 0 || !believable(now, item.standing.epoch)) return false;
    if (item.member == self_) return refute(now, item.standing, item.floor), false;
    OriginState& state = states_[item.member];
    const bool changed = state.join(item.standing);
    if (changed) standing_changed(now, item.member);
    const bool raised = item.standing.epoch == state.standing().epoch && state.raise_floor(item.floor);
    dirty_ |= raised;
    return changed || raised;
}

bool Replica::take(Millis now, MemberId from, const EvidenceItem& item, bool pass_on) {
    if (item.origin >= states_.size()) return ++counts_.unknown_members, false;
    if (!believable(now, item.life) || item.left == 0) return false;
    if (item.origin == self_) {
        const auto held = own().evidence().find(item.server);
        const bool other = item.life == own().standing().epoch && held != own().evidence().end() &&
                           held->second.count == item.count && held->second.value != item.evidence;
        return refute(now, {item.life, 0, Status::alive}, other ? own_count_ + 1 : item.count), false;
    }
    OriginState& state = states_[item.origin];
    const std::uint32_t life = state.standing().epoch;
    Record<Evidence> record{item.count, item.evidence, now + std::min(kEvidenceLife, item.left * kTenth),
                            from == item.origin};
    const bool changed = state.join(item.life, item.server, std::move(record));
    if (state.standing().epoch != life) standing_changed(now, item.origin);
    dirty_ = true;  // that it came firsthand may be all that is new
    const auto complaints = complaints_.find(item.server);
    if (changed && pass_on && (complaints == complaints_.end() || complaints->second.first < kNewsOrigins))
        news(now, {What::evidence, item.origin, item.server});
    return changed;
}

std::size_t Replica::acting_on(const Versions& versions) const {
    return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), [&](const OriginState& s) {
        return s.versions() && s.standing().status != Status::dead && s.versions()->value == versions;
    }));
}

bool Replica::take(Millis now, MemberId from, const VersionsItem& item, bool pass_on) {
    if (item.origin >= states_.size()) return ++counts_.unknown_members, false;
    if (!believable(now, item.life)) return false;
    if (item.origin == self_) {
        const auto& held = own().versions();
        const bool other = item.life == own().standing().epoch && held && held->count == item.count &&
                           held->value != item.versions;
        return refute(now, {item.life, 0, Status::alive}, other ? own_count_ + 1 : item.count), false;
    }
    OriginState& state = states_[item.origin];
    const std::uint32_t life = state.standing().epoch;
    Record<Versions> record{item.count, item.versions, kNever, from == item.origin};
    const bool changed = state.join(item.life, std::move(record));
    if (state.standing().epoch != life) standing_changed(now, item.origin);
    if (changed) dirty_ = moved_ = true;
    // That somebody acts on something new is news; who else does by now, digests tell.
    if (changed && pass_on && acting_on(item.versions) <= kNewsOrigins)
        news(now, {What::versions, item.origin, 0});
    return changed;
}

// What is said of this sidecar and is not so: that it is suspect or dead, or what it never wrote (an earlier
// life's, or a forger's). A higher incarnation answers the one, a later life the other.
void Replica::refute(Millis now, const MemberState& said, std::uint32_t count) {
    const MemberState& mine = own().standing();
    if (said.epoch < mine.epoch) return;
    if (said.epoch > mine.epoch || count > own_count_) {
        // Not in a spin: a liar could otherwise make one sidecar fill all datagrams with its lives.
        if (now < last_new_life_ + kNewLifeEvery) return;
        ++counts_.refuted;
        return new_life(now, said.epoch + 1);
    }
    const bool worse = said.status != Status::alive && said.incarnation >= mine.incarnation;
    if (!worse && said.incarnation <= mine.incarnation) return;
    ++counts_.refuted;
    if (said.incarnation >= std::numeric_limits<std::uint32_t>::max() - 1)
        return new_life(now, mine.epoch + 1);
    own().join(MemberState{mine.epoch, said.incarnation + 1, Status::alive});
    news(now, {What::member, self_, 0});
}

void Replica::new_life(Millis now, std::uint32_t life) {
    last_new_life_ = now;
    const OriginState before = own();
    own().join(MemberState{life, 0, Status::alive});
    own_count_ = 0;
    news(now, {What::member, self_, 0});
    for (const auto& [server, record] : before.evidence()) {
        own().join(life, server, {++own_count_, record.value, record.expires, true});
        news(now, {What::evidence, self_, server});
    }
    if (before.versions()) publish(now, before.versions()->value);
}

// Whether what is said now may go to all: with what goes out in a moment anyway, or within the budget.
bool Replica::may_shout(Millis now) {
    if (shout_at_ != kNever) return true;
    const double each = options_.shouts / static_cast<double>(states_.size());
    voice_ = std::min(kVoice, voice_ + each * std::max(0.0, now - voice_at_) / 1000), voice_at_ = now;
    if (voice_ < 1) return false;
    voice_ -= 1, shout_at_ = now + kBreath;
    return true;
}

// ---- Own records ------------------------------------------------------------------------------------------

void Replica::publish(Millis now, EndpointKey server, Evidence evidence) {
    if (left_) return;
    now_ = std::max(now_, now);
    if (own_count_ >= kMostCount) new_life(now, own().standing().epoch + 1);
    own().join(own().standing().epoch, server, {++own_count_, evidence, now + kEvidenceLife, true});
    const auto known = complaints_.find(server);
    const bool few = known == complaints_.end() || known->second.second < kWitnesses;
    const bool accuses = evidence.failures > 0 || (evidence.flags & (kRemoved | kClosed));
    if (!accuses || !few || !may_shout(now)) return news(now, {What::evidence, self_, server});
    if (std::find(loud_.begin(), loud_.end(), server) == loud_.end()) loud_.push_back(server);
}

void Replica::publish(Millis now, const Versions& versions) {
    if (left_) return;
    now_ = std::max(now_, now);
    const std::size_t others = acting_on(versions);
    own().join(own().standing().epoch, Record<Versions>{++own_count_, versions, kNever, true});
    if (others >= kNewsOrigins) return;  // digests will tell
    // Both: whoever misses the shout is a rule behind.
    news(now, {What::versions, self_, 0});
    loud_versions_ = may_shout(now);
}

// ---- Repair -----------------------------------------------------------------------------------------------

void Replica::add_digest(Datagram& datagram) const {
    std::array<std::uint32_t, kRanges> hashes{};
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const std::uint32_t words[] = {static_cast<std::uint32_t>(i), states_[i].fingerprint()};
        if (words[1] != 0) hashes[range_of(static_cast<MemberId>(i))] += XXH32(words, sizeof words, 0);
    }
    for (std::size_t range = 0; range < kRanges; ++range)
        datagram.add(RangeItem{static_cast<std::uint8_t>(range), hashes[range]});
}

std::uint32_t Replica::fingerprint() const {
    Datagram all;
    add_digest(all);
    std::uint32_t sum = 0;
    for (const Item& item : all.items) sum = sum * 31 + std::get<RangeItem>(item).hash;
    return sum;
}

std::vector<std::uint8_t> Replica::differing(const Datagram& datagram) const {
    Datagram mine;
    add_digest(mine);
    std::vector<std::uint8_t> ranges;
    for (const Item& item : datagram.items)
        if (const auto* r = std::get_if<RangeItem>(&item);
            r && r->hash != std::get<RangeItem>(mine.items[r->range]).hash)
            ranges.push_back(r->range);
    std::sort(ranges.begin(), ranges.end());
    ranges.erase(std::unique(ranges.begin(), ranges.end()), ranges.end());
    return ranges;
}

// Answers are for whoever asks, and asking is cheap: all answers together have a bound.
bool Replica::allowed(Millis now) {
    allowance_ = std::min(kAllowance, allowance_ + kAllowance * std::max(0.0, now - allowance_at_) / 1000);
    allowance_at_ = now;
    if (allowance_ < 1) return ++counts_.unanswered, false;
    allowance_ -= 1;
    return true;
}

void Replica::sync(std::vector<Outgoing>& out) {
    for (const MemberId to : some(1, true)) {
        Datagram digest = head(Kind::digest);
        add_digest(digest);
        ++counts_.syncs;
        send(to, std::move(digest), out, false);
    }
}

void Replica::pull(Millis now, std::vector<Outgoing>& out) {
    if (caught_up_ || pulls_ >= kPulls) {
        next_pull_ = kNever;
        return;
    }
    ++pulls_;
    next_pull_ = now + kPullAgain * (1 + 0.5 * random_.unit());
    for (const MemberId to : some(kPulled, false)) {
        Datagram d = head(Kind::pull);
        d.token = next_token_++;
        if (d.token == 0) d.token = next_token_++;
        add_digest(d);
        send(to, std::move(d), out, false);
    }
}

void Replica::answer_digest(Millis now, MemberId from, const Datagram& digest, std::vector<Outgoing>& out) {
    std::vector<std::uint8_t> ranges = differing(digest);
    // The same few every time would never get to the others.
    for (std::size_t i = ranges.size(); i > 1; --i) std::swap(ranges[i - 1], ranges[random_.below(i)]);
    Datagram summary = head(Kind::summary);
    std::size_t sent = 0;
    for (const std::uint8_t range : ranges)
        for (std::size_t i = 0; i < states_.size(); ++i) {
            const auto id = static_cast<MemberId>(i);
            if (range_of(id) != range) continue;
            const FingerprintItem item{id, states_[i].fingerprint()};
            if (summary.add(item)) continue;
            if (++sent >= kAnswer || !allowed(now)) return;
            send(from, std::move(summary), out, false);
            summary = head(Kind::summary);
            summary.add(item);
        }
    if (!summary.items.empty() && allowed(now)) send(from, std::move(summary), out, false);
}

std::vector<Item> Replica::items_of(MemberId id) const {
    std::vector<Item> items;
    const OriginState& state = states_[id];
    if (state.standing().epoch == 0) return items;
    items.push_back(*item_of({What::member, id, 0}));
    for (const auto& [server, record] : state.evidence())
        if (const auto item = item_of({What::evidence, id, server})) items.push_back(*item);
    if (const auto item = item_of({What::versions, id, 0})) items.push_back(*item);
    return items;
}

// The states of those members in as many datagrams as it takes, up to the bounds; `last` is the form of each,
// and what marks the last one as such.
void Replica::send_states(Millis now, MemberId to, const std::vector<MemberId>& members,
                          const std::vector<Item>& first, Datagram last, std::vector<Outgoing>& out) {
    const std::size_t most = last.subject != 0 ? kPullAnswer : kAnswer;
    std::vector<Item> items = first;
    for (const MemberId id : members)
        for (Item& item : items_of(id)) items.push_back(std::move(item));
    Datagram d = last;
    d.subject = 0;
    std::size_t sent = 0;
    for (const Item& item : items) {
        if (d.add(item)) continue;
        if (++sent >= most || !allowed(now)) break;
        send(to, std::move(d), out, false);
        d = last;
        d.subject = 0;
        d.add(item);
    }
    d.subject = last.subject;
    if ((!d.items.empty() || d.subject != 0) && allowed(now)) send(to, std::move(d), out, false);
}

void Replica::answer_pull(Millis now, MemberId from, const Datagram& pull, std::vector<Outgoing>& out) {
    const std::vector<std::uint8_t> ranges = differing(pull);
    std::vector<MemberId> members;
    for (std::size_t i = 0; i < states_.size(); ++i)
        if (std::binary_search(ranges.begin(), ranges.end(),
                               static_cast<std::uint8_t>(range_of(static_cast<MemberId>(i)))))
            members.push_back(static_cast<MemberId>(i));
    // From a random place on: where the bound cuts an answer off, another's has the rest.
    if (!members.empty())
        std::rotate(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(random_.below(members.size())),
                    members.end());
    Datagram form = head(Kind::gossip);
    form.token = pull.token, form.subject = 1;
    send_states(now, from, members, {}, std::move(form), out);
}

void Replica::answer_summary(Millis now, MemberId from, const Datagram& summary, std::vector<Outgoing>& out) {
    std::vector<MemberId> members;
    std::vector<Item> wants;
    for (const Item& item : summary.items) {
        if (const auto* f = std::get_if<FingerprintItem>(&item)) {
            if (f->member >= states_.size() || states_[f->member].fingerprint() == f->fingerprint) continue;
            members.push_back(f->member);
            if (f->fingerprint != 0) wants.push_back(WantItem{f->member});
        }
        if (const auto* w = std::get_if<WantItem>(&item))
            if (w->member < states_.size()) members.push_back(w->member);
    }
    if (members.empty()) return;
    // Where something differed, more may: not so long until the next look.
    next_sync_ = std::min(next_sync_, now + options_.sync_period / 4);
    // As a summary, so that what is wanted in it is answered; wants are only ever answered, never returned.
    Datagram form = head(wants.empty() ? Kind::gossip : Kind::summary);
    form.token = wants.empty() ? 1 : 0;
    send_states(now, from, members, wants, std::move(form), out);
}

// ---- The view ---------------------------------------------------------------------------------------------

void Replica::look(Millis now, std::vector<Outgoing>& out) {
    dirty_ = false;
    looked_ = now;
    struct Sum {
        EndpointTotals all;
        std::uint32_t pace = 0;
        std::vector<MemberId> hearsay;  // complaints passed on
    };
    std::map<EndpointKey, Sum> sums;
    for (std::size_t i = 0; i < states_.size(); ++i) {
        const OriginState& state = states_[i];
        if (i == self_ || state.standing().status == Status::dead) continue;
        for (const auto& [server, record] : state.evidence()) {
            const Evidence& e = record.value;
            Sum& sum = sums[server];
            sum.all.endpoint = server;
            sum.all.successes += e.successes;
            sum.all.withdrawals += record.firsthand && (e.flags & kClosed) != 0;
            sum.all.recoveries += (e.flags & kRestored) != 0;
            if (e.latency_ratio > 0 && record.firsthand)
                sum.pace += e.latency_ratio, ++sum.all.latency_reporters;
            if (e.failures == 0 && !(e.flags & kRemoved)) continue;
            ++sum.all.reporters;
            if (record.firsthand)
                ++sum.all.direct_reporters, sum.all.failures += e.failures;
            else
                sum.hearsay.push_back(static_cast<MemberId>(i));
        }
    }
    std::vector<EndpointTotals> view;
    std::map<EndpointKey, std::vector<MemberId>> hearsay;
    complaints_.clear();
    for (auto& [server, sum] : sums) {
        if (sum.all.latency_reporters > 0)
            sum.all.latency_ratio = sum.pace / 64.0 / sum.all.latency_reporters;
        complaints_[server] = {sum.all.reporters, sum.all.direct_reporters};
        if (sum.all.reporters >= kWitnesses && sum.all.direct_reporters < kWitnesses)
            hearsay[server] = sum.hearsay;
        view.push_back(sum.all);
    }
    if (moved_ || view != view_) ++revision_;
    moved_ = false;
    view_ = std::move(view);
    confirm(now, hearsay, out);
}

// Where enough origins are said to complain of a server, some are asked themselves. One answer brings all
// that its origin has to say, so one that is named for several servers is asked first.
void Replica::confirm(Millis now, const std::map<EndpointKey, std::vector<MemberId>>& hearsay,
                      std::vector<Outgoing>& out) {
    std::erase_if(asked_, [&](const auto& entry) { return now >= entry.second + kConfirmEvery; });
    std::map<MemberId, int> named;
    for (const auto& [server, origins] : hearsay)
        for (const MemberId id : origins)
            if (!asked_.count(id)) ++named[id];
    std::vector<std::pair<double, MemberId>> order;
    for (const auto& [id, times] : named) order.emplace_back(-times - random_.unit(), id);
    std::sort(order.begin(), order.end());
    std::set<MemberId> chosen;
    for (const auto& [rank, id] : order) {
        if (chosen.size() >= kMostConfirmed) break;
        // Only where somebody it speaks of still lacks witnesses among those asked.
        const bool needed = std::any_of(hearsay.begin(), hearsay.end(), [&, member = id](const auto& entry) {
            const auto& origins = entry.second;
            const auto asked = std::count_if(origins.begin(), origins.end(), [&](MemberId o) {
                return chosen.count(o) > 0 || asked_.count(o) > 0;
            });
            return asked < static_cast<std::ptrdiff_t>(kWitnesses) &&
                   std::find(origins.begin(), origins.end(), member) != origins.end();
        });
        if (!needed) continue;
        chosen.insert(id);
        Datagram ask = head(Kind::summary);
        ask.add(WantItem{id});
        ++counts_.confirmations;
        send(id, std::move(ask), out);
    }
    for (const MemberId id : chosen) asked_[id] = now;
    if (!asked_.empty() && !hearsay.empty()) dirty_ = true;  // answers may be lost: look again
}

std::vector<std::pair<MemberId, Record<Versions>>> Replica::versions() const {
    std::vector<std::pair<MemberId, Record<Versions>>> all;
    for (std::size_t i = 0; i < states_.size(); ++i)
        if (i != self_ && states_[i].standing().status != Status::dead && states_[i].versions())
            all.emplace_back(static_cast<MemberId>(i), *states_[i].versions());
    return all;
}

std::size_t Replica::alive() const {
    return static_cast<std::size_t>(std::count_if(states_.begin(), states_.end(), [](const OriginState& s) {
        return s.standing().epoch > 0 && s.standing().status != Status::dead;
    }));
}

std::size_t Replica::records() const {
    return std::accumulate(states_.begin(), states_.end(), std::size_t{0},
                           [](std::size_t n, const OriginState& s) { return n + s.evidence().size(); });
}

}  // namespace ochregrade::replication
