// Every decision of ochregrade. The interface is include/ochregrade/balancer.hpp.
//
// The path of a request: on(RequestArrived) takes it and sets its timer; place() looks for room (admission)
// and pick() for a server: one whose backoff is over gets it as half-open trial, else of two live ones drawn
// the one with fewer of our outstanding requests; dispatch() sends it, to run to the client's deadline at the
// longest. If nobody may have it now it is held briefly. on(AttemptEnded) books the outcome in the server's
// window (judge(): removal, return) and places the request again or answers it. finish() is the only final
// answer, may_send() and may_refuse() the only gates: nothing is sent or refused without passing them.
#include "ochregrade/balancer.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <map>
#include <stdexcept>
#include <unordered_map>

#include "balancer/settings_validation.hpp"
#include "common/random.hpp"

namespace ochregrade {

namespace {

// The mechanism's own figures: io.l5d.successRate as its authors demonstrated it.
constexpr int kWindow = 20;
constexpr double kThreshold = 0.9;
constexpr Millis kBackoff = 10000;

constexpr Millis kTurn = 600;        // each server in use is asked about as often,
constexpr double kLeastSubset = 12;  // but no fewer are used
constexpr Millis kReuse = 4000;      // a connection not expected to be used again within this is closed
constexpr double kEasy = 0.97, kHopeless = 0.7;  // probes are sent while a share between comes in time
constexpr double kRaceGain = 0.5;                // of the late ones, what a race brings in time at best
constexpr std::uint32_t kToldPart = 4;           // one in so many peers is told of what failed
constexpr std::uint32_t kPulsePart = 16;         // one in so many is told how long our answers took,
constexpr int kPulse = 10;                       // after so many of them
// At most so many peers are told, and by all of them each is told as often, in a fleet of any size.
constexpr std::uint32_t kMostTold = 88, kMostPulsed = 22;
constexpr double kPulseWeight = 0.1;          // of each in our own estimate
constexpr double kDoubt = 2, kMostDoubt = 8;  // fewer failures say nothing; with any number it stays drawn
constexpr int kAskRounds = 2;                 // of two servers each
// Retry budget: a fifth more attempts than requests in the long run, and this many at a stretch.
constexpr double kRetryShare = 0.2, kRetryBurst = 10;
// Admission: attempts out are kept to what brings the mean answer in at this share of its aim: more makes the
// slower answers late, less leaves servers idle. It starts without a bound worth the name.
constexpr double kAimShare = 0.55, kRoomAtStart = 1000, kRoomGain = 0.5;
constexpr double kFeed = 0.5;      // of the multiple that fells a cold server; the rest is for chance
constexpr double kCrowded = 0.35;  // answers take this share of the aim: well above an idle pool
constexpr Millis kCrowdMemory = 5000;
constexpr double kFloor = 4;  // attempts at a server by all sidecars together that admission always leaves
constexpr double kHold = 1.0 / 16;  // of the aim: what cannot go out by then had better be tried anew
// The part of the room that is there for every class, however little its worth, and all that repeats get: a
// repeat's aim has been running since its first try.
constexpr double kCommonRoom = 0.6;
// Shared evidence: a window of the fleet's needs so many witnesses; what is removed on its word alone is at
// most this part of the list (Envoy's max_ejection_percent), one server at least.
constexpr std::uint32_t kWitnesses = 3;
constexpr double kHearsayPart = 0.1;
constexpr Millis kRecent = 5000;  // in which an outcome loses all but a third of its weight here
constexpr double kOwnWord = 3;    // so many good ones of late, and no hearsay is needed
constexpr Millis kShareEvery = 500, kAnswerEvery = 2000, kRefresh = 5000;
constexpr Millis kTrialSpread = 2000;          // trials that another's success brings forward are spread over
constexpr double kOverdue = 1, kOnTime = 0.8;  // the pace from which a server is said to be crowded, and not
// Wait after a failed call for the list, at first and at the longest, each between half and one and a half of
// it. A change counts as told 6 s after discovery can be reached again: half of that is left to the next
// call.
constexpr Millis kResubscribe = 1000, kLongestResubscribe = 2000;

// The process may be held up for so long between a decision and its write. Of a short window no more than
// this share is given up for it.
constexpr Millis kHeldUp = 150;
constexpr double kHeldUpShare = 0.25;

// A running mean in which about the last half window of samples counts.
void smooth(double& mean, double sample) { mean += (sample - mean) * 2 / kWindow; }

enum class Standing { live, removed, trial };

struct Server {
    Endpoint info;
    bool listed = true;
    int outstanding = 0;
    Standing standing = Standing::live;
    std::uint32_t window = 0;  // a bit for each of the last outcomes, set for success
    int filled = 0;            // of them
    Millis backoff_until = 0;
    double pace = 0;       // its answers' time against their aim, of late
    double suspicion = 0;  // decayed count of failed attempts, ours and those we were told of
    Millis suspected_at = 0;
    double good = 0, bad = 0;  // our outcomes of late, decayed; bad ones are errors, not late answers
    Millis counted_at = 0, shared_at = -kRefresh;
    bool said_crowded = false;
    bool reached = true;            // its last connection came up
    bool by_hearsay = false;        // removed on the word of others
    bool shut = false;              // on the others' lists: nothing new goes to it
    EndpointEvidence fleet{};       // theirs
    std::vector<RequestId> askers;  // requests that await a probe of it
};

struct Attempt {
    EndpointId server = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;
    bool out = true;
    bool may_have_run = true;
    bool trial = false;
};

struct Request {
    RequestId id = 0;
    SettingsPtr settings;
    RequestClass kind;
    double top_worth = 1;  // of the class worth most
    // The client's. Not the aim: giving up there makes clients repeat what a server is still working on,
    // while a late answer, worth as little, keeps them quiet.
    Millis deadline = 0;
    bool repeat = false;
    bool ended = false;
    bool streaming = false;
    bool waiting = false;     // has its hold timer
    Millis hold_until = 0;    // what waits for room is refused after this
    int asked = 0, asks = 0;  // probes that it awaits, and rounds of them so far
    std::vector<Attempt> attempts;

    bool any_out() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
    }
    const Attempt* first_possible_run() const {
        for (const Attempt& a : attempts)
            if (a.may_have_run) return &a;
        return nullptr;
    }
    bool tried(EndpointId server) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.server == server; });
    }
};

}  // namespace

struct Balancer::Impl {
    Impl(Settings s, std::uint64_t seed)
        : settings(std::make_shared<const Settings>(std::move(s))), random(seed) {
        validate(*settings);
    }

    // In force now: our place in the fleet, how servers warm up, what may be told. What concerns a single
    // request (classes, fees, attempts, permissions) is asked of its own.
    SettingsPtr settings;
    Random random;
    Millis now = 0;
    std::vector<Action>* actions = nullptr;
    std::map<EndpointId, Server> servers;
    std::vector<Server*> open;                        // those listed and on, by number: nobody else is drawn
    double open_units = 0;                            // their sizes together
    std::unordered_map<RequestId, Request> requests;  // never iterated
    std::unordered_map<TimerToken, std::optional<RequestId>> timers;  // none: the list's
    TimerToken next_token = 1;
    Millis resubscribe = kResubscribe;
    double retry_budget = kRetryBurst;
    int outstanding = 0;     // attempts
    Millis arrived_at = -1;  // the last request
    Millis gap = 0;          // between requests, of late
    double timely = 1;       // share of attempts answered within their aim, of late
    double served = 1;       // share of attempts that completed, of late
    Millis crowded_at = 0;
    double crowding = 0;          // answers' time against their aim, of late
    double pulse = 0;             // the same of our last answers, not told yet,
    int pulses = 0;               // and how many they are
    bool told = false;            // a list other than the saved one
    double used = 0;              // the most attempts out of late: a lull must not close the room
    double room = kRoomAtStart;   // attempts that may be outstanding
    std::vector<RequestId> held;  // may name finished ones
    std::vector<RequestId> done;  // ended during this event

    void act(Action action) { actions->push_back(std::move(action)); }

    // ---- The rules: the only gates ----------------------------------------------------------------------

    bool in_scope(const Request& r, const Attempt& a, const Endpoint& s) const {
        switch (r.kind.dedup_scope) {
            case DedupScope::all:
                return true;
            case DedupScope::zone:
                return a.zone == s.zone;
            case DedupScope::cell:
                return a.cell == s.cell;
        }
        return false;
    }

    bool may_send(const Request& r, Server& s) {
        if (r.ended || r.streaming || now >= r.deadline) return false;  // rule 1
        if (r.attempts.size() >= r.settings->max_attempts) return false;
        if (!s.listed || s.info.state != EndpointState::serving) return false;  // rule 3
        if (r.any_out() &&
            (!r.settings->hedging_allowed || r.kind.idempotency == Idempotency::not_idempotent))
            return false;
        if (r.kind.idempotency == Idempotency::not_idempotent && r.first_possible_run())
            return false;  // rule 2
        if (now >= repeats_end(r)) return false;
        if (r.kind.idempotency == Idempotency::idempotent_with_key)
            for (const Attempt& a : r.attempts)
                if (a.may_have_run && !in_scope(r, a, s.info)) return false;
        return !is_cold(s) || random.unit() < cold_share(s);  // rule 4
    }

    bool may_refuse(const Request& r) const {
        const Attempt* first = r.first_possible_run();
        if (r.ended || r.streaming) return false;
        if (!first || r.kind.idempotency == Idempotency::idempotent) return true;
        return r.kind.idempotency == Idempotency::idempotent_with_key &&
               r.kind.dedup_scope == DedupScope::all && now < repeats_end(r);
    }

    // Until then servers know a key that may have reached them, also where a repeat is written late.
    static Millis repeats_end(const Request& r) {
        const Attempt* first =
            r.kind.idempotency == Idempotency::idempotent_with_key ? r.first_possible_run() : nullptr;
        if (!first) return std::numeric_limits<Millis>::infinity();
        const Millis window = r.kind.dedup_window;
        return first->sent_at + window - std::min(kHeldUp, window * kHeldUpShare);
    }

    // Slow start. A server of age a does at least cold_from of its work, rising evenly to all of it at
    // warm_within. It is open to that share of our requests, by lot: shares drawn so add up to what it can do
    // over any number of sidecars, where a floor or a bucket in each would be a flood from a thousand. The
    // lot shrinks by our share of attempts that complete: a storm of retries is many times what servers do.
    bool is_cold(const Server& s) const {
        return settings->slow_start_duration > 0 && s.info.started_at > 0 &&
               now < s.info.started_at + settings->slow_start_duration;
    }
    double warmth(const Server& s) const {
        if (!is_cold(s)) return 1;
        const double age = std::max(0.0, now - s.info.started_at) / settings->slow_start_duration;
        return settings->slow_start_least_share + (1 - settings->slow_start_least_share) * std::min(1.0, age);
    }
    double cold_share(const Server& s) const {
        // While its answers come in time, more than it is sure to bear: most warm up sooner.
        const bool eager = s.pace > 0 && s.pace <= kAimShare;
        const double feed = eager ? std::max(1.0, kFeed * settings->slow_start_overload_factor) : 1;
        return feed * warmth(s) * served;
    }

    // What the list has to offer, by registered size.
    double capacity() const {
        double all = 0;
        for (const auto& [id, s] : servers)
            if (s.listed && s.info.state == EndpointState::serving) all += s.info.capacity_weight * warmth(s);
        return all;
    }
    // Whoever leaves the pool leaves its load to the others, and no answer shows it yet: the room shrinks
    // with the pool, and grows again if there was some to spare.
    void shrink_room(double before, double after) {
        if (after < before && is_thin()) room = std::max(room_floor(), std::min(room, used) * after / before);
    }
    // The same where connections do not come up, seconds before the list knows. What this sidecar uses stands
    // for all: it meets no others.
    void reach(Server& s, bool reached) {
        if (s.reached == reached) return;
        double others = 0, own = s.info.capacity_weight * warmth(s);
        for (const Server* other : subset())
            if (other != &s && other->reached && other->standing == Standing::live)
                others += other->info.capacity_weight * warmth(*other);
        s.reached = reached;
        if (!reached) shrink_room(others + own, others);
    }

    // ---- Membership -------------------------------------------------------------------------------------

    void on(const Started&) {
        if (settings->polled_discovery) act(SubscribeEndpoints{true});
    }

    void on(const SettingsChanged& e) {
        if (!e.settings) return;
        try {
            validate(*e.settings);
        } catch (const std::invalid_argument& error) {
            return act(LogMessage{error.what(), {}});
        }
        const bool subscribe = e.settings->polled_discovery && !settings->polled_discovery;
        settings = e.settings;
        if (!settings->evidence_shared)
            for (auto& [id, s] : servers) s.fleet = {}, s.shut = false;
        if (subscribe) act(SubscribeEndpoints{true});
        release_held();  // our part of the room may have grown
    }

    // Four times ask_within after a call that failed what is not heard counts as heard: a pause, half as long
    // again at most, leaves half of that time to the call.
    Millis longest_resubscribe() const {
        if (settings->poll_interval <= 0) return kLongestResubscribe;
        return std::min(kLongestResubscribe, settings->poll_interval * 4 / 3);
    }

    void on(const EndpointUpdate& list) {
        if (list.kind == EndpointUpdateKind::failed) {
            // The list is one service for all: come back later and not in step with the others.
            set_timer(now + std::min(resubscribe, longest_resubscribe()) * (0.5 + random.unit()),
                      std::nullopt);
            resubscribe = std::min(resubscribe * 2, longest_resubscribe());
            return;
        }
        if (list.kind != EndpointUpdateKind::cached) resubscribe = kResubscribe;
        const double before = capacity();
        if (list.kind != EndpointUpdateKind::incremental)
            for (auto& [id, s] : servers) s.listed = false;
        for (const Endpoint& info : list.endpoints) learn(info);
        note_open();
        if (told) shrink_room(before, capacity());  // what a saved list said is no measure of the load
        told |= list.kind != EndpointUpdateKind::cached;
        for (auto it = servers.begin(); it != servers.end();) forget_gone(it++);
        release_held();
    }

    // A long list is walked once for each change of it, not for each request.
    void note_open() {
        open.clear(), open_units = 0;
        for (auto& [id, s] : servers)
            if (s.listed && s.info.state == EndpointState::serving)
                open.push_back(&s), open_units += s.info.capacity_weight;
    }

    // A server that goes must not take along the requests that await its probe.
    void forget_gone(std::map<EndpointId, Server>::iterator at) {
        if (at->second.listed || at->second.outstanding > 0) return;
        const std::vector<RequestId> askers = std::move(at->second.askers);
        servers.erase(at);
        for (const RequestId id : askers) probed(id, nullptr);
    }

    void learn(const Endpoint& info) {
        const auto [it, fresh] = servers.try_emplace(info.id);
        Server& s = it->second;
        if (fresh || info.started_at > s.info.started_at) {
            s.standing = Standing::live;  // another process under the same name: its record starts anew
            s.window = 0, s.filled = 0;
            s.good = s.bad = 0, s.said_crowded = s.shut = false, s.fleet = {}, s.reached = true;
        }
        s.info = info;
        if (!(s.info.capacity_weight > 0)) s.info.capacity_weight = 1;  // nonsense: as if unknown
        s.listed = info.state != EndpointState::gone;
    }

    // A removal that was under way goes on, within the panic threshold and for no more than a whole backoff:
    // what comes from a disk gives way to what this life has seen.
    void on(const StateRestored& e) {
        for (const EndpointSnapshot& l : e.endpoints) {
            const auto at = servers.find(l.endpoint);
            if (at == servers.end()) continue;
            Server& s = at->second;
            if (s.filled > 0 || s.outstanding > 0 || s.standing != Standing::live) continue;
            if (l.latency_ratio > 0 && std::isfinite(l.latency_ratio))
                s.pace = std::min(1.5, l.latency_ratio);
            if (!(l.ejected_for > 0) || !may_remove(false)) continue;
            remove(s);
            s.backoff_until = now + std::min(kBackoff, l.ejected_for);
        }
    }

    // One whose backoff is over but whose trial has not come yet, or is out, stays removed for a moment: the
    // next life tries it as this one would have.
    std::vector<EndpointSnapshot> learnt() const {
        std::vector<EndpointSnapshot> all;
        for (const auto& [id, s] : servers) {
            const bool out = s.standing != Standing::live;
            if (s.listed && (out || s.pace > 0))
                all.push_back({id, out ? std::max(1.0, s.backoff_until - now) : 0, s.pace});
        }
        return all;
    }

    // ---- Verdict: window, backoff, trial ----------------------------------------------------------------

    void judge(Server& s, const Attempt& a, Outcome outcome, bool late) {
        const bool success = outcome == Outcome::success && !late;  // past its aim: as good as timed out
        const bool verdict = outcome != Outcome::cancelled && outcome != Outcome::not_sent;
        if (s.standing == Standing::trial && a.trial) {
            if (!verdict)
                s.standing = Standing::removed;  // undecided: the next request is the trial
            else if (success)
                restore(s);
            else
                remove(s);
            return;
        }
        if (!verdict || s.standing != Standing::live) return;
        s.window = (s.window << 1 | (success ? 1 : 0)) & ((1u << kWindow) - 1);
        s.filled = std::min(s.filled + 1, kWindow);
        if (!success && below_threshold(s) && may_remove(late || outcome == Outcome::timeout)) remove(s);
    }

    // Shared slowness makes every server fail, and removing them all makes it an outage. So a server is held
    // against the others: 0.9 of their success share, less three standard errors of a window of that share.
    // While the others don't fail, this is 0.9 and nothing else. A window not yet full is judged as if the
    // rest were successes: what is certain need not wait, least of all where traffic is thin.
    bool below_threshold(const Server& s) const {
        if (successes(s) + (kWindow - s.filled) >= kWindow * kThreshold) return false;  // whatever the level
        const double level = level_without(s);
        const double noise = std::sqrt(level * (1 - level) / kWindow);
        return successes(s) + (kWindow - s.filled) < kWindow * (kThreshold * level - 3 * noise);
    }

    // Those that the fleet complains of are no measure, while they are the fewer.
    double level_without(const Server& s) const {
        double good = 0, all = 0, clean_good = 0, clean_all = 0;
        std::size_t live = 0, clean = 0;
        for (const auto& [id, other] : servers) {
            if (&other == &s || other.standing != Standing::live) continue;
            const bool blamed = other.fleet.reporters > 0;
            ++live, clean += !blamed;
            good += successes(other), all += other.filled;
            if (!blamed) clean_good += successes(other), clean_all += other.filled;
        }
        if (2 * clean >= live) good = clean_good, all = clean_all;
        return all > 0 ? good / all : 1;
    }

    static int successes(const Server& s) { return std::popcount(s.window); }

    // Panic threshold: half of the listed servers stay in the pool, whatever their windows say, and three
    // quarters if it is for slow answers: in a crowd the slow machines are still needed.
    bool may_remove(bool slow) const {
        std::size_t listed = 0, out = 0;
        for (const auto& [id, s] : servers)
            if (s.listed) ++listed, out += is_out(s);
        return (slow ? 4 : 2) * (out + 1) <= listed;
    }

    // What is out on the word of others may be tried once its backoff is over, and may never be: we need not
    // use it.
    bool is_out(const Server& s) const {
        return s.standing != Standing::live && !(s.by_hearsay && now >= s.backoff_until);
    }

    void remove(Server& s, bool by_hearsay = false) {
        s.by_hearsay = by_hearsay;
        if (by_hearsay)
            act(LogMessage{"removed from the pool on the word of " +
                               std::to_string(s.fleet.direct_reporters) + " others",
                           s.info.id});
        else if (s.standing == Standing::live)
            act(LogMessage{"removed from the pool", s.info.id});
        s.standing = Standing::removed;
        s.backoff_until = now + kBackoff;
        if (!by_hearsay) share(s, false);
    }

    void restore(Server& s) {
        s.standing = Standing::live;
        s.window = 0, s.filled = 0;
        act(LogMessage{"restored after a trial", s.info.id});
        s.bad = 0;
        share(s, true);
    }

    // ---- Shared evidence --------------------------------------------------------------------------------

    // Twenty outcomes are soon seen by all sidecars together, where one of them takes minutes. So each tells
    // what it saw of a server that fails, or that others complain of, and judges by the sum as by a window of
    // its own. Its own fresh outcomes go before hearsay, and a backoff and a trial of its own follow.
    void share(Server& s, bool restored) {
        if (!settings->evidence_shared) return;
        // What enough others say already need not be said by hundreds; what we said ourselves is kept true.
        const bool known =
            restored ? s.fleet.recoveries >= kWitnesses : s.fleet.direct_reporters >= 2 * kWitnesses;
        if (known && now >= s.shared_at + kBackoff) return;
        s.shared_at = now;
        count(s, 0, 0);
        act(PublishEvidence{s.info.id, s.good, s.bad, s.pace, s.standing != Standing::live, restored});
    }
    void count(Server& s, double good, double bad) {
        const double left = std::exp((s.counted_at - now) / kRecent);
        s.good = s.good * left + good, s.bad = s.bad * left + bad, s.counted_at = now;
    }
    bool vouched_for(Server& s) {
        count(s, 0, 0);
        return s.good >= kOwnWord && s.good >= kThreshold * (s.good + s.bad);
    }
    void share_outcome(Server& s, Outcome outcome) {
        if (outcome == Outcome::cancelled || outcome == Outcome::not_sent) return;
        const bool good = outcome == Outcome::success;
        count(s, good, !good);
        const bool crowded = s.pace > (s.said_crowded ? kOnTime : kOverdue);
        const bool news = crowded != s.said_crowded;
        s.said_crowded = crowded;
        const Millis quiet = now - s.shared_at;
        // Where others complain, successes are news too.
        const bool answer =
            good && s.fleet.reporters > 0 && s.fleet.successes < 3 * kWindow && quiet >= kAnswerEvery;
        if (news || answer || (!good && quiet >= kShareEvery) || (crowded && quiet >= kRefresh))
            share(s, false);
    }

    void on(const FleetEvidence& e) {
        std::map<EndpointId, EndpointEvidence> said;
        for (const EndpointEvidence& f : e.endpoints) said[f.endpoint] = f;
        std::size_t closed = 0;
        for (auto& [id, s] : servers) {
            const bool before = s.fleet.reporters > 0;
            const auto now_said = said.find(id);
            s.fleet = now_said == said.end() ? EndpointEvidence{} : now_said->second;
            // Where the others' lists close a server that ours still has open, nothing new goes to it until
            // ours has come: a tenth of the list at most, as with all hearsay.
            closed += s.shut = s.listed && s.fleet.withdrawals >= kWitnesses && within_hearsay(closed);
            // What it did well before the first complaint does not contradict it.
            if (!before && s.fleet.reporters > 0 && s.bad < 1) s.good = 0;
        }
        // The worst first: the cap may not let all be removed.
        std::vector<Server*> named;
        for (auto& [id, s] : servers)
            if (s.listed && s.fleet.reporters + s.fleet.recoveries > 0) named.push_back(&s);
        std::stable_sort(named.begin(), named.end(), [](const Server* a, const Server* b) {
            return a->fleet.direct_reporters > b->fleet.direct_reporters;
        });
        for (Server* s : named) heed(*s);
    }
    void heed(Server& s) {
        // Another's success is worth a trial of our own, and no more; not all at once.
        if (s.standing == Standing::removed && s.fleet.recoveries > 0 && s.backoff_until > now + kTrialSpread)
            s.backoff_until = now + kTrialSpread * random.unit();
        if (s.standing != Standing::live || s.fleet.reporters == 0) return;
        if (!vouched_for(s) && convicted(s) && may_remove(false) && may_heed()) remove(s, true);
    }
    bool convicted(const Server& s) const {
        const std::uint32_t witnesses = s.fleet.direct_reporters + (s.bad >= 1 ? 1 : 0);
        const double good = s.fleet.successes + s.good, bad = s.fleet.failures + s.bad;
        const double level = level_without(s), all = std::max<double>(kWindow, good + bad);
        const double noise = std::sqrt(level * (1 - level) / kWindow);
        return witnesses >= kWitnesses && (all - bad) / all < kThreshold * level - 3 * noise;
    }
    bool within_hearsay(std::size_t out) const {
        std::size_t listed = 0;
        for (const auto& [id, s] : servers) listed += s.listed;
        return static_cast<double>(out) + 1 <= std::max(1.0, kHearsayPart * static_cast<double>(listed));
    }
    bool may_heed() const {
        std::size_t out = 0;
        for (const auto& [id, s] : servers) out += s.listed && s.by_hearsay && is_out(s);
        return within_hearsay(out);
    }

    // ---- Pick -------------------------------------------------------------------------------------------

    // Subset. A few requests spread over many servers make no window, no queue and no connection worth
    // keeping. So a sidecar uses as many of them, by size, as it asks about once in kTurn, an arc of the list
    // in the order of their numbers, which is the same everywhere. The arcs start evenly apart, so that all
    // servers are in as many. What is out of our pool is made up for by those that follow, and so is what a
    // cold one can't do yet.
    double subset_size() const {
        const double all = static_cast<double>(servers.size());
        return gap > 0 ? std::clamp(kTurn / gap, std::min(kLeastSubset, all), all)
                       : std::min(kLeastSubset, all);
    }
    std::vector<Server*> subset() {
        std::vector<Server*> used;
        double left = open.empty() ? 0 : subset_size() * open_units / static_cast<double>(open.size());
        const std::size_t start =
            open.size() * (settings->sidecar_index % settings->sidecar_count) / settings->sidecar_count;
        for (std::size_t i = 0; i < open.size() && left > 0; ++i) {
            Server* s = used.emplace_back(open[(start + i) % open.size()]);
            if (s->standing == Standing::live)
                left -= s->info.capacity_weight * (is_cold(*s) ? std::min(1.0, cold_share(*s)) : 1);
        }
        return used;
    }

    Server* pick(Request& r) {
        std::vector<Server*> live, again;
        for (Server* s : subset()) {
            const bool due = s->standing == Standing::removed && now >= s->backoff_until;
            if ((!due && s->standing != Standing::live) || s->shut || !may_send(r, *s)) continue;
            if (due) return s;  // half-open: this request is its trial
            (r.tried(s->info.id) ? again : live).push_back(s);
        }
        if (live.empty()) live.swap(again);
        if (live.empty()) return nullptr;
        Server* first = draw(live, nullptr);
        // Where crossing zones costs and the pool is not crowded, one of the two is of our own zone. It wins
        // ties, and with one request more where our part of the fee exceeds the chance of a late answer: one
        // more from each of many sidecars is a queue.
        bool near_first = false;
        const Settings& own = *r.settings;
        if (own.fees.cross_zone > 0 && own.local_zone && crowding <= kCrowded) {
            std::vector<Server*> near;
            for (Server* s : live)
                if (s->info.zone == *own.local_zone) near.push_back(s);
            if (!near.empty()) first = draw(near, nullptr), near_first = true;
        }
        if (live.size() == 1) return first;
        Server* second = draw(live, first);
        const Server &a = *first, &b = *second;
        const bool nearer = near_first && b.info.zone != *own.local_zone;
        const int grace = nearer && our_part() * own.fees.cross_zone > std::exp(-1 / crowding) ? 1 : 0;
        const double doubt = suspicion(a) - suspicion(b);
        if (a.outstanding == 0 && b.outstanding == 0 && std::abs(doubt) < 1 && should_ask(r)) {
            ++r.asks;
            for (Server* s : {first, second})
                ++r.asked, s->askers.push_back(r.id), act(SendProbe{s->info.id});
            return nullptr;
        }
        const bool other =
            b.outstanding + grace < a.outstanding ||
            (b.outstanding == a.outstanding && (doubt != 0 ? doubt > 0 : !nearer && b.pace < a.pace));
        return other ? second : first;
    }

    // Gossip. Among many servers a sidecar meets a bad one too seldom to know it, all sidecars together meet
    // it all the time. So each tells some peers of what failed, four bytes a time. It makes a server rarer in
    // the draw and breaks ties between equal queues, no more; an answer halves it, and a backoff forgets it:
    // lost, false or malformed messages do little harm. What comes late is not told of: in a crowd all do.
    double suspicion(const Server& s) const {
        double left = s.suspicion * std::exp((s.suspected_at - now) / kBackoff);
        if (const EndpointEvidence& f = s.fleet;
            f.direct_reporters >= kWitnesses)  // how many, and how much they saw
            left = std::min(kMostDoubt, left + f.direct_reporters * (f.failures + 1.0) /
                                                   (f.failures + f.successes + 1.0));
        return left < kDoubt || !is_thin() ? 0
                                           : left;  // a failure now and then is no reason to load the others
    }
    void doubt(Server& s, double factor, double more) {
        const double left = s.suspicion * std::exp((s.suspected_at - now) / kBackoff);
        s.suspicion = std::min(kMostDoubt, left * factor + more), s.suspected_at = now;
    }
    void tell(std::uint32_t peers, const std::vector<std::uint8_t>& bytes) {
        for (std::uint32_t i = 0; i < peers; ++i) {
            const auto peer = static_cast<std::uint32_t>(random.below(settings->sidecar_count));
            if (peer != settings->sidecar_index) act(SendGossip{peer, bytes});
        }
    }
    void tell_failure(EndpointId id) {
        if (!settings->gossip_allowed || settings->evidence_shared || !is_thin()) return;
        std::vector<std::uint8_t> bytes;
        for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<std::uint8_t>(id >> shift));
        tell(std::min(settings->sidecar_count / kToldPart, kMostTold), bytes);
    }
    // How crowded the pool is shows in the answers of all sidecars; the few of one are mostly chance, and a
    // room that follows chance refuses what there is room for. So each tells some peers the mean of its last
    // answers' time against their aim, in hundredths.
    void tell_pulse() {
        if (settings->gossip_allowed && is_thin())
            tell(std::min(settings->sidecar_count / kPulsePart, kMostPulsed),
                 {static_cast<std::uint8_t>(pulse * 100)});
        pulse = 0, pulses = 0;
    }
    void on(const GossipReceived& e) {
        if (e.bytes.size() == 1 && is_thin())
            crowding += (std::min(1.5, e.bytes[0] / 100.0) - crowding) * kPulseWeight;
        EndpointId id = 0;
        for (const std::uint8_t byte : e.bytes) id = id << 8 | byte;
        const auto at = servers.find(id);
        if (e.bytes.size() == 4 && at != servers.end()) doubt(at->second, 1, 1);
    }

    // A window takes longer to fill than a backoff lasts: on its own this sidecar learns too late who is bad.
    bool is_thin() const { return gap * subset_size() * kWindow > kBackoff; }
    // Own queues tell a light sidecar nothing: it asks a server again only after seconds.
    bool is_light() const { return gap * subset_size() > kReuse; }

    // While some attempts fail or come late, a tie between two empty queues of ours is broken by a race: both
    // servers are probed, and the first to answer gets the request: who is dead, cut off or crowded does not.
    // In a collapsed pool no probe is answered in time, and they would only cost.
    // Nor is a race worth its two fees where it saves less than them.
    bool should_ask(const Request& r) const {
        const bool pays = 2 * r.settings->fees.probe < kRaceGain * (1 - timely);
        const bool doubtful = timely < kEasy && timely > kHopeless && pays;
        return r.settings->probes_allowed && is_light() && doubtful && r.asks < kAskRounds;
    }

    void on(const ProbeEnded& e) {
        const auto at = servers.find(e.endpoint);
        if (at == servers.end() || at->second.askers.empty()) return;
        const RequestId id = at->second.askers.front();
        at->second.askers.erase(at->second.askers.begin());
        const bool fit = e.outcome == Outcome::success && at->second.standing == Standing::live;
        probed(id, fit ? &at->second : nullptr);
    }
    void probed(RequestId id, Server* fit) {
        const auto it = requests.find(id);
        if (it == requests.end() || it->second.asked == 0) return;  // it has gone meanwhile
        Request& r = it->second;
        if (fit && may_send(r, *fit)) {
            r.asked = 0;
            dispatch(r, *fit);
        } else if (--r.asked == 0 && !r.ended && !r.any_out()) {
            place(r);
        }
    }

    // At random, each with the chance of its registered size: where every queue of ours is empty, the draw
    // alone decides, and equal parts would drown the small servers. What is doubted is drawn the more seldom.
    double chance(const Server& s) const {
        const bool crowded = s.fleet.latency_reporters >= kWitnesses && s.fleet.latency_ratio > kOverdue;
        return s.info.capacity_weight / ((1 + suspicion(s)) * (1 + suspicion(s))) * (crowded ? 0.5 : 1);
    }
    Server* draw(const std::vector<Server*>& from, const Server* except) {
        double total = 0;
        for (const Server* s : from) total += s == except ? 0 : chance(*s);
        double left = random.unit() * total;
        Server* drawn = nullptr;
        for (Server* s : from)
            if (s != except && (!drawn || left >= 0)) drawn = s, left -= chance(*s);
        return drawn;
    }

    // ---- Admission --------------------------------------------------------------------------------------

    // Little's law: a bound on what is out bounds the time it takes. The bound follows how long answers take
    // against their aim; errors say nothing about crowding, and it only grows while it is used.
    void adapt_room(Server& s, const Request& r, const AttemptEnded& e) {
        double ratio = 1.5;
        if (e.outcome == Outcome::success)
            ratio = std::min(1.5, e.duration / r.kind.latency_objective);
        else if (e.outcome != Outcome::timeout && e.outcome != Outcome::overloaded)
            return;
        smooth(s.pace, ratio);
        // One slow by nature, or one that others too get no answer from: it says nothing of the pool.
        if (is_cold(s) || (e.outcome != Outcome::success && suspicion(s) > 0)) return;
        pulse += ratio / kPulse;
        if (++pulses == kPulse) tell_pulse();
        // Smoothed: one slow answer must not close a light sidecar, which has few others to set against it.
        // But good news counts for more the longer none came: one that sheds most of its requests gets
        // little.
        const double news = ratio < crowding ? 1 - std::exp((crowded_at - now) / kCrowdMemory) : 0;
        crowding += (ratio - crowding) * std::max(2.0 / kWindow, news);
        crowded_at = now;
        smooth(used, outstanding);
        used = std::max<double>(used, outstanding);
        const double step = kRoomGain * (kAimShare - crowding);
        if (step < 0)
            room = std::max(room_floor(), std::min(room, used + 1.0) + step);
        else if (outstanding + 1 > room / 2)
            room = std::min(kRoomAtStart, room + step);
    }

    // Where slow service alone takes that long, refusing more does not help and idles the servers: one
    // attempt for each server is always allowed, and with many sidecars our part of kFloor.
    double room_floor() const { return our_part() * static_cast<double>(servers.size()); }
    double our_part() const { return std::min(1.0, kFloor / std::max(1u, settings->sidecar_count)); }

    // Worth: the class worth most may fill the room, the others leave it part of theirs.
    // Less than one place is given by lot: a light sidecar, with one request at a time, sheds by it.
    bool has_room(const Request& r) {
        const double part =
            kCommonRoom + (1 - kCommonRoom) * r.kind.priority_weight / r.top_worth * (r.repeat ? 0 : 1);
        return outstanding < room * part && (room * part >= 1 || random.unit() < room * part);
    }

    void release_held() {
        if (held.empty() || outstanding >= room) return;
        std::vector<RequestId> waiting;
        waiting.swap(held);
        std::erase_if(waiting, [&](RequestId id) {
            const auto it = requests.find(id);
            return it == requests.end() || it->second.ended || it->second.any_out();
        });
        // What came last goes first: under a crowd the oldest has least use left.
        for (auto id = waiting.rbegin(); id != waiting.rend(); ++id) place(requests.at(*id));
    }

    // ---- A request --------------------------------------------------------------------------------------

    void on(const RequestArrived& e) {
        const auto [it, fresh] = requests.try_emplace(e.id);
        if (!fresh) return;
        Request& r = it->second;
        r.id = e.id;
        r.repeat = e.client_retry;
        r.settings = e.settings && !e.settings->classes.empty() ? e.settings : settings;
        if (e.class_index < r.settings->classes.size()) {
            r.kind = r.settings->classes[e.class_index];
        } else {  // unknown: what we know least about is handled with most care
            r.kind.idempotency = Idempotency::not_idempotent;
            r.kind.latency_objective = std::max(1.0, e.time_left);
        }
        r.top_worth = 0;
        for (const RequestClass& c : r.settings->classes)
            r.top_worth = std::max(r.top_worth, c.priority_weight);
        if (r.top_worth == 0) r.top_worth = 1;
        r.kind.latency_objective += r.kind.objective_per_effort * std::max(0.0, e.effort);
        r.deadline = now + std::max(0.0, e.time_left);
        if (arrived_at >= 0) gap > 0 ? smooth(gap, now - arrived_at) : void(gap = now - arrived_at);
        arrived_at = now;
        retry_budget = std::min(retry_budget + kRetryShare, kRetryBurst);
        r.hold_until = std::min(r.deadline, now + r.kind.latency_objective * kHold);
        set_timer(r.deadline, r.id);
        place(r);
    }

    void place(Request& r) {
        if (has_room(r)) {
            if (Server* s = pick(r)) return dispatch(r, *s);
            if (r.asked > 0) return;  // the probes' answers place it
        }
        // Nobody may have it now. If one may later, hold it: at hold_until the timer answers.
        if (r.any_out()) return;
        if (r.attempts.size() >= r.settings->max_attempts ||
            (r.first_possible_run() && r.kind.idempotency == Idempotency::not_idempotent))
            return finish(r, EndReason::attempts_exhausted);
        if (now >= r.hold_until) return finish(r, EndReason::no_capacity);
        held.push_back(r.id);
        if (r.waiting) return;
        r.waiting = true;
        set_timer(r.hold_until, r.id);
    }

    void dispatch(Request& r, Server& s) {
        const bool trial = s.standing == Standing::removed;
        if (trial) s.standing = Standing::trial;
        const Millis write_until = std::min(r.deadline, repeats_end(r));
        if (!r.attempts.empty()) retry_budget -= 1;
        ++s.outstanding;
        ++outstanding;
        r.asked = 0, r.asks = 0;
        r.attempts.push_back({s.info.id, s.info.zone, s.info.cell, now, true, true, trial});
        act(SendAttempt{r.id, s.info.id, r.deadline, write_until});
    }

    void on(const ResponseStarted& e) {
        const auto it = requests.find(e.id);
        if (it != requests.end() && e.attempt < it->second.attempts.size()) it->second.streaming = true;
    }

    void book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
        --s.outstanding;
        adapt_room(s, r, e);
        if (e.outcome == Outcome::connect_failure || e.outcome == Outcome::success)
            reach(s, e.outcome == Outcome::success);
        smooth(served, e.outcome == Outcome::success ? 1.0 : 0.0);
        const bool good = e.outcome == Outcome::success && e.duration <= r.kind.latency_objective;
        smooth(timely, good ? 1.0 : 0.0);
        if (e.outcome == Outcome::success)
            doubt(s, 0.5, 0);
        else if (e.outcome != Outcome::cancelled && e.outcome != Outcome::not_sent)
            doubt(s, 1, 1), tell_failure(s.info.id);
        if (settings->evidence_shared) share_outcome(s, e.outcome);
        judge(s, a, e.outcome, e.duration > r.kind.latency_objective && !is_cold(s));
    }

    void on(const AttemptEnded& e) {
        const auto it = requests.find(e.id);
        if (it == requests.end() || e.attempt >= it->second.attempts.size()) return;
        Request& r = it->second;
        Attempt& a = r.attempts[e.attempt];
        if (!a.out) return;
        a.out = false;
        --outstanding;
        a.may_have_run = !proves_never_ran(e.outcome);
        if (const auto at = servers.find(a.server); at != servers.end()) {
            book(at->second, r, a, e);
            // Idle connections of many sidecars fill a server's table: it slows down and then turns new ones
            // away. A light sidecar asks a server again so late that opening one anew costs less.
            if (at->second.outstanding == 0 && is_light()) act(CloseIdleConnections{a.server});
            forget_gone(at);
        }
        if (e.request_ended) r.ended = true;
        if (r.ended) done.push_back(r.id);
        // Without a retry budget each request asks a crowded pool as often as the limits allow.
        if (now >= r.deadline)
            finish(r, EndReason::deadline_exceeded);
        else if (!r.any_out() && retry_budget < 1)
            finish(r, EndReason::retry_budget_exhausted);
        else if (!r.ended && !r.any_out())
            place(r);
        release_held();
    }

    void on(const ClientDisconnected& e) {
        const auto it = requests.find(e.id);
        if (it == requests.end()) return;
        cancel_all(it->second);
        it->second.ended = true;
        done.push_back(e.id);
    }

    // The only final answer: a refusal where that is true, else a failure.
    void finish(Request& r, EndReason reason) {
        if (r.ended || r.streaming) return;
        cancel_all(r);
        if (may_refuse(r))
            act(RejectRequest{r.id, advice(r), reason});
        else
            act(FailRequest{r.id, reason});
        r.ended = true;
        done.push_back(r.id);
    }

    // When to come back: a mean answer from now places are free; where nobody is live, when the first backoff
    // ends.
    Millis advice(const Request& r) const {
        Millis first = kBackoff;
        for (const auto& [id, s] : servers) {
            if (!s.listed || s.info.state != EndpointState::serving) continue;
            if (s.standing == Standing::live) return std::max(1.0, crowding * r.kind.latency_objective);
            first = std::min(first, s.backoff_until - now);
        }
        return std::max(1.0, first);
    }

    void cancel_all(const Request& r) {
        for (std::uint32_t i = 0; r.settings->cancel_allowed && i < r.attempts.size(); ++i)
            if (r.attempts[i].out) act(CancelAttempt{r.id, i});
    }

    // After each event: what has its answer and nothing out leaves no trace.
    void forget_done() {
        for (const RequestId id : done) {
            const auto it = requests.find(id);
            if (it != requests.end() && it->second.ended && !it->second.any_out()) requests.erase(it);
        }
        done.clear();
    }

    // ---- Timers and the rest ----------------------------------------------------------------------------

    void set_timer(Millis at, std::optional<RequestId> request) {
        timers[next_token] = request;
        act(SetTimer{at, next_token++});
    }

    void on(const TimerFired& e) {
        const auto timer = timers.find(e.token);
        if (timer == timers.end()) return;
        const std::optional<RequestId> id = timer->second;
        timers.erase(timer);
        if (!id) return act(SubscribeEndpoints{true});
        const auto it = requests.find(*id);
        if (it == requests.end() || it->second.ended) return;
        if (now >= it->second.deadline)
            finish(it->second, EndReason::deadline_exceeded);
        else if (!it->second.any_out())
            place(it->second);
    }
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->now = std::max(impl_->now, now);
    impl_->actions = &actions;
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->forget_done();
}

std::vector<EndpointSnapshot> Balancer::snapshot() const { return impl_->learnt(); }

Balancer::Usage Balancer::usage() const {
    std::size_t removed = 0;
    for (const auto& [id, s] : impl_->servers) removed += s.listed && s.standing != Standing::live;
    return {impl_->requests.size(), impl_->servers.size(), impl_->timers.size(), removed};
}

}  // namespace ochregrade
