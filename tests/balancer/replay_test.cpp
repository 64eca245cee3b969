// Replay oracle of the decision library: seeded legal lifetimes of one sidecar, each folded into one hash of
// all its events, times and actions. The hashes in replay_hashes.txt were recorded before the library was
// split into modules: a different hash means that a decision, a floating-point result or a random draw has
// changed. REPLAY_RECORD=FILE writes the hashes of this build there instead.
#define XXH_INLINE_ALL
#include <gtest/gtest.h>
#include <xxhash.h>

#include <bit>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <string>

#include "ochregrade/balancer.hpp"

namespace ochregrade {
namespace {

constexpr int kLifetimes = 1200;

// Folds values, never names or memory, so that renamed types give the same hash.
class Fold {
public:
    void number(std::uint64_t value) { hash_ = XXH64(&value, sizeof value, hash_); }
    void real(double value) { number(std::bit_cast<std::uint64_t>(value)); }
    void bytes(const std::vector<std::uint8_t>& bytes) {
        number(bytes.size());
        for (const std::uint8_t byte : bytes) number(byte);
    }
    std::uint64_t value() const { return hash_; }

private:
    std::uint64_t hash_ = 0;
};

// Raw draws of a standard engine: the standard's distributions differ from library to library.
class Draw {
public:
    explicit Draw(std::uint64_t seed) : engine_(seed) {}
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    double between(double low, double high) { return low + (high - low) * unit(); }
    std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
    bool chance(double probability) { return unit() < probability; }
    template <class T>
    T one_of(std::initializer_list<T> values) {
        return *(values.begin() + below(values.size()));
    }

private:
    std::mt19937_64 engine_;
};

void fold_action(Fold& fold, const SendAttempt& a) {
    fold.number(a.id);
    fold.number(a.endpoint);
    fold.real(a.give_up_at);
    fold.real(a.write_deadline);
}
void fold_action(Fold& fold, const CancelAttempt& a) {
    fold.number(a.id);
    fold.number(a.attempt);
}
void fold_action(Fold& fold, const RejectRequest& a) {
    fold.number(a.id);
    fold.real(a.retry_after);
    fold.number(static_cast<std::uint64_t>(a.reason));
}
void fold_action(Fold& fold, const FailRequest& a) {
    fold.number(a.id);
    fold.number(static_cast<std::uint64_t>(a.reason));
}
void fold_action(Fold& fold, const SetTimer& a) {
    fold.real(a.at);
    fold.number(a.token);
}
void fold_action(Fold& fold, const SendProbe& a) { fold.number(a.endpoint); }
void fold_action(Fold& fold, const CloseIdleConnections& a) { fold.number(a.endpoint); }
void fold_action(Fold& fold, const SendGossip& a) {
    fold.number(a.to ? *a.to + 1ULL : 0);
    fold.bytes(a.bytes);
}
void fold_action(Fold& fold, const SubscribeEndpoints& a) { fold.number(a.active ? 1 : 0); }
void fold_action(Fold&, const FetchEndpoints&) {}
void fold_action(Fold& fold, const LogMessage& a) { fold.number(a.endpoint ? *a.endpoint + 1ULL : 0); }
void fold_action(Fold& fold, const PublishEvidence& a) {
    fold.number(a.endpoint);
    fold.real(a.successes);
    fold.real(a.failures);
    fold.real(a.latency_ratio);
    fold.number(a.ejected ? 1 : 0);
    fold.number(a.recovered ? 1 : 0);
}

RequestClass draw_class(Draw& draw) {
    RequestClass drawn;
    drawn.idempotency =
        draw.one_of({Idempotency::idempotent, Idempotency::idempotent_with_key, Idempotency::not_idempotent});
    drawn.dedup_scope = draw.one_of({DedupScope::all, DedupScope::zone, DedupScope::cell});
    drawn.dedup_window = draw.one_of({0.0, 300.0, 1500.0, 5000.0});
    drawn.latency_objective = draw.between(60, 900);
    drawn.objective_per_effort = draw.chance(0.5) ? draw.between(0, 3) : 0;
    drawn.priority_weight = draw.between(0, 4);
    return drawn;
}

Settings draw_settings(Draw& draw) {
    Settings drawn;
    for (std::uint64_t left = 1 + draw.below(4); left > 0; --left) drawn.classes.push_back(draw_class(draw));
    if (draw.chance(0.7)) drawn.local_zone = static_cast<ZoneId>(draw.below(3));
    drawn.sidecar_count = draw.one_of<std::uint32_t>({1, 4, 30, 300, 900});
    drawn.sidecar_index = static_cast<std::uint32_t>(draw.below(drawn.sidecar_count));
    drawn.polled_discovery = draw.chance(0.5);
    drawn.poll_interval = draw.one_of({0.0, 400.0, 2000.0});
    drawn.max_attempts = static_cast<std::uint32_t>(1 + draw.below(4));
    drawn.hedging_allowed = draw.chance(0.5);
    drawn.cancel_allowed = draw.chance(0.8);
    drawn.probes_allowed = draw.chance(0.6);
    drawn.evidence_shared = draw.chance(0.4);
    drawn.gossip_allowed = draw.chance(0.6);
    drawn.slow_start_least_share = draw.one_of({0.1, 0.3, 1.0});
    drawn.slow_start_duration = draw.one_of({0.0, 3000.0, 20000.0});
    drawn.slow_start_overload_factor = draw.between(1, 4);
    drawn.fees.cross_zone = draw.one_of({0.0, 0.01, 0.2});
    drawn.fees.probe = draw.one_of({0.0, 0.002, 0.05});
    return drawn;
}

// One sidecar's lifetime: servers that fail, slow down, restart and leave, clients that leave, timers,
// probes, lists and messages, each event at its time; what the balancer asks for decides what happens next.
class Lifetime {
public:
    explicit Lifetime(std::uint64_t seed)
        : draw_(seed), settings_(draw_settings(draw_)), balancer_(settings_, seed * 7919 + 1) {}

    std::uint64_t hash() {
        start();
        while (!events_.empty() && handled_ < kMostEvents) {
            const auto next = events_.begin();
            now_ = std::max(now_, next->first.first);
            const Occurrence occurrence = next->second;
            events_.erase(next);
            occur(occurrence);
        }
        return fold_.value();
    }
    const std::map<std::size_t, std::uint64_t>& action_counts() const { return action_counts_; }

private:
    enum class Kind {
        arrival,
        first_byte,
        attempt_end,
        client_leaves,
        timer,
        probe_end,
        list_changes,
        list_answer,
        peer_message,
        settings_change,
        fleet_view
    };
    struct Occurrence {
        Kind kind = Kind::timer;
        std::uint64_t id = 0;  // of a request, a timer or a server
        std::uint32_t attempt = 0;
        Outcome outcome = Outcome::success;
        Millis duration = 0;
    };
    struct OpenRequest {
        std::vector<bool> in_flight;
        bool ended = false;
    };
    enum class Health { sound, slow, failing, unreachable, full };

    static constexpr int kMostEvents = 1500, kRequests = 350;
    static constexpr Millis kBegin = 50000;

    void start() {
        now_ = kBegin;
        mean_gap_ = draw_.one_of({3.0, 20.0, 120.0, 900.0});
        for (EndpointId id = 1, last = static_cast<EndpointId>(1 + draw_.below(40)); id <= last; ++id)
            add_server(id * 7);
        give(Started{});
        give(EndpointUpdate{EndpointUpdateKind::cached, listed()});
        if (draw_.chance(0.3)) give(StateRestored{{{7, draw_.between(0, 9000), draw_.unit()}, {14, 0, 0.4}}});
        if (!settings_.polled_discovery) give(EndpointUpdate{EndpointUpdateKind::full, listed()});
        at(draw_.between(0, mean_gap_), {Kind::arrival});
        at(draw_.between(500, 6000), {Kind::list_changes});
        at(draw_.between(50, 3000), {Kind::peer_message});
        at(draw_.between(3000, 60000), {Kind::settings_change});
        if (settings_.evidence_shared) at(draw_.between(100, 2000), {Kind::fleet_view});
    }

    void add_server(EndpointId id) {
        Endpoint server;
        server.id = id;
        server.zone = static_cast<ZoneId>(draw_.below(3));
        server.cell = static_cast<std::uint32_t>(draw_.below(3));
        server.state = draw_.chance(0.9) ? EndpointState::serving : EndpointState::draining;
        server.started_at = draw_.chance(0.8) ? 0 : now_ - draw_.between(0, 10000);
        server.capacity_weight = draw_.one_of({1.0, 1.0, 2.5, 0.5, 0.0});
        servers_[id] = server;
        health_[id] = draw_health();
    }
    Health draw_health() {
        const double drawn = draw_.unit();
        if (drawn < 0.7) return Health::sound;
        return drawn < 0.78   ? Health::slow
               : drawn < 0.88 ? Health::failing
               : drawn < 0.95 ? Health::unreachable
                              : Health::full;
    }
    std::vector<Endpoint> listed() const {
        std::vector<Endpoint> all;
        for (const auto& [id, server] : servers_) all.push_back(server);
        return all;
    }

    void at(Millis after, Occurrence occurrence) { events_[{now_ + after, order_++}] = occurrence; }

    void give(const Event& event) {
        ++handled_;
        std::vector<Action> actions;
        balancer_.handle(now_, event, actions);
        fold_.number(event.index());
        fold_.real(now_);
        for (const Action& action : actions) {
            fold_.number(action.index());
            ++action_counts_[action.index()];
            std::visit([this](const auto& a) { fold_action(fold_, a); }, action);
        }
        fold_held();
        for (const Action& action : actions) std::visit([this](const auto& a) { carry_out(a); }, action);
    }
    void fold_held() {
        const auto held = balancer_.usage();
        for (const std::size_t count : {held.requests, held.endpoints, held.timers, held.ejected})
            fold_.number(count);
        if (handled_ % 50 != 0) return;
        for (const EndpointSnapshot& learnt : balancer_.snapshot()) {
            fold_.number(learnt.endpoint);
            fold_.real(learnt.ejected_for);
            fold_.real(learnt.latency_ratio);
        }
    }

    void occur(const Occurrence& o) {
        switch (o.kind) {
            case Kind::arrival:
                return arrive();
            case Kind::first_byte:
                if (attempt_in_flight(o)) give(ResponseStarted{o.id, o.attempt});
                return;
            case Kind::attempt_end:
                return end_attempt(o);
            case Kind::client_leaves:
                return leave(o.id);
            case Kind::timer:
                return give(TimerFired{o.id});
            case Kind::probe_end:
                return give(ProbeEnded{static_cast<EndpointId>(o.id), o.outcome, o.duration});
            case Kind::list_changes:
                return change_list();
            case Kind::list_answer:
                return give(EndpointUpdate{
                    draw_.chance(0.3) ? EndpointUpdateKind::failed : EndpointUpdateKind::full, listed()});
            case Kind::peer_message:
                return receive_from_peer();
            case Kind::settings_change:
                return change_settings();
            case Kind::fleet_view:
                return receive_fleet_view();
        }
    }

    void arrive() {
        const RequestId id = ++last_request_;
        requests_[id] = {};
        RequestArrived event;
        event.id = id;
        event.class_index =
            static_cast<std::uint32_t>(draw_.below(settings_.classes.size() + (draw_.chance(0.05) ? 1 : 0)));
        event.time_left = draw_.one_of({0.0, 40.0, 400.0, 1500.0, 4000.0});
        event.effort = draw_.chance(0.5) ? draw_.between(0, 80) : 0;
        event.client_retry = draw_.chance(0.1);
        if (draw_.chance(0.1)) event.settings = std::make_shared<const Settings>(settings_);
        if (draw_.chance(0.08)) at(draw_.between(0, 800), {Kind::client_leaves, id});
        if (last_request_ < kRequests) at(gap(), {Kind::arrival});
        give(event);
    }
    Millis gap() {
        if (draw_.chance(0.01)) return draw_.between(1000, 15000);  // a pause
        const Millis mean = draw_.chance(0.1) ? mean_gap_ / 20 : mean_gap_;
        return mean * 2 * draw_.unit();
    }

    bool attempt_in_flight(const Occurrence& o) const {
        const auto request = requests_.find(o.id);
        return request != requests_.end() && o.attempt < request->second.in_flight.size() &&
               request->second.in_flight[o.attempt];
    }
    void end_attempt(const Occurrence& o) {
        if (!attempt_in_flight(o)) return;
        OpenRequest& request = requests_.at(o.id);
        request.in_flight[o.attempt] = false;
        if (o.outcome == Outcome::success) request.ended = true;
        give(AttemptEnded{o.id, o.attempt, o.outcome, o.duration, request.ended});
    }
    void leave(RequestId id) {
        OpenRequest& request = requests_.at(id);
        if (request.ended) return;
        request.ended = true;
        give(ClientDisconnected{id});
    }

    void change_list() {
        std::vector<Endpoint> changed;
        for (std::uint64_t left = 1 + draw_.below(4); left > 0; --left) changed.push_back(change_server());
        const bool incremental = draw_.chance(0.7);
        at(draw_.between(300, 9000), {Kind::list_changes});
        give(EndpointUpdate{incremental ? EndpointUpdateKind::incremental : EndpointUpdateKind::full,
                            incremental ? changed : listed()});
    }
    Endpoint change_server() {
        if (servers_.empty() || draw_.chance(0.2)) {
            const auto id = static_cast<EndpointId>(1000 + draw_.below(60));
            add_server(id);
            return servers_[id];
        }
        auto at = servers_.begin();
        std::advance(at, static_cast<std::ptrdiff_t>(draw_.below(servers_.size())));
        Endpoint& server = at->second;
        server.state = draw_.one_of(
            {EndpointState::serving, EndpointState::serving, EndpointState::draining, EndpointState::gone});
        if (draw_.chance(0.4)) server.started_at = now_;
        health_[server.id] = draw_health();
        const Endpoint changed = server;
        if (server.state == EndpointState::gone) servers_.erase(at);
        return changed;
    }

    void receive_from_peer() {
        GossipReceived message;
        message.from = static_cast<std::uint32_t>(draw_.below(900));
        const auto length = draw_.one_of<std::uint64_t>({1, 1, 4, 4, 4, 0, 7});
        for (std::uint64_t i = 0; i < length; ++i)
            message.bytes.push_back(static_cast<std::uint8_t>(draw_.below(256)));
        if (length == 4) message.bytes = {0, 0, 0, static_cast<std::uint8_t>(7 * (1 + draw_.below(20)))};
        at(draw_.between(20, 2500), {Kind::peer_message});
        give(message);
    }

    void change_settings() {
        const std::size_t classes = settings_.classes.size();
        Settings next = draw_settings(draw_);
        while (next.classes.size() < classes) next.classes.push_back(draw_class(draw_));
        if (draw_.chance(0.2)) next.sidecar_count = 0;  // makes no sense, so it has no effect
        if (next.sidecar_count > 0) settings_ = next;
        at(draw_.between(5000, 60000), {Kind::settings_change});
        give(SettingsChanged{std::make_shared<const Settings>(next)});
    }

    void receive_fleet_view() {
        FleetEvidence view;
        for (const auto& [id, server] : servers_) {
            if (draw_.chance(0.7)) continue;
            EndpointEvidence evidence;
            evidence.endpoint = id;
            evidence.successes = static_cast<std::uint32_t>(draw_.below(60));
            evidence.failures = static_cast<std::uint32_t>(draw_.below(60));
            evidence.reporters = static_cast<std::uint32_t>(draw_.below(8));
            evidence.direct_reporters = static_cast<std::uint32_t>(draw_.below(evidence.reporters + 1));
            evidence.withdrawals = static_cast<std::uint32_t>(draw_.below(5));
            evidence.recoveries = static_cast<std::uint32_t>(draw_.below(4));
            evidence.latency_reporters = static_cast<std::uint32_t>(draw_.below(6));
            evidence.latency_ratio = draw_.between(0, 1.5);
            view.endpoints.push_back(evidence);
        }
        at(draw_.between(200, 3000), {Kind::fleet_view});
        give(view);
    }

    // What happens to an attempt at a server of that health: how it ends, and after what time.
    std::pair<Outcome, Millis> fate(Health health) {
        const double rare = draw_.unit();
        if (rare < 0.02) return {Outcome::connection_reset, draw_.between(1, 300)};
        if (rare < 0.03) return {Outcome::not_sent, 0};
        switch (health) {
            case Health::slow:
                return {Outcome::success, draw_.between(300, 2500)};
            case Health::failing:
                return {draw_.chance(0.8) ? Outcome::server_error : Outcome::success, draw_.between(1, 40)};
            case Health::unreachable:
                return {Outcome::connect_failure, draw_.between(0, 200)};
            case Health::full:
                return {draw_.chance(0.6) ? Outcome::overloaded : Outcome::success, draw_.between(1, 400)};
            case Health::sound:
                break;
        }
        return {Outcome::success, draw_.between(5, 250)};
    }

    void carry_out(const SendAttempt& send) {
        OpenRequest& request = requests_.at(send.id);
        const auto attempt = static_cast<std::uint32_t>(request.in_flight.size());
        request.in_flight.push_back(true);
        auto [outcome, duration] = fate(health_[send.endpoint]);
        if (now_ + duration > send.give_up_at)
            outcome = Outcome::timeout, duration = std::max(0.0, send.give_up_at - now_);
        if (outcome == Outcome::success && draw_.chance(0.1))
            at(duration / 2, {Kind::first_byte, send.id, attempt});
        at(duration, {Kind::attempt_end, send.id, attempt, outcome, duration});
    }
    void carry_out(const CancelAttempt& cancel) {
        at(0, {Kind::attempt_end, cancel.id, cancel.attempt, Outcome::cancelled, 1});
    }
    void carry_out(const RejectRequest& rejected) { requests_.at(rejected.id).ended = true; }
    void carry_out(const FailRequest& failed) { requests_.at(failed.id).ended = true; }
    void carry_out(const SetTimer& timer) { at(std::max(0.0, timer.at - now_), {Kind::timer, timer.token}); }
    void carry_out(const SendProbe& probe) {
        const bool answers = health_[probe.endpoint] == Health::sound || draw_.chance(0.4);
        at(draw_.between(1, 60),
           {Kind::probe_end, probe.endpoint, 0, answers ? Outcome::success : Outcome::timeout, 5});
    }
    void carry_out(const SubscribeEndpoints&) { at(draw_.between(5, 400), {Kind::list_answer}); }
    void carry_out(const CloseIdleConnections&) {}
    void carry_out(const SendGossip&) {}
    void carry_out(const FetchEndpoints&) {}
    void carry_out(const LogMessage&) {}
    void carry_out(const PublishEvidence&) {}

    Draw draw_;
    Settings settings_;
    Balancer balancer_;
    Fold fold_;
    Millis now_ = 0, mean_gap_ = 0;
    std::map<std::pair<Millis, std::uint64_t>, Occurrence> events_;
    std::uint64_t order_ = 0;
    int handled_ = 0;
    RequestId last_request_ = 0;
    std::map<RequestId, OpenRequest> requests_;
    std::map<EndpointId, Endpoint> servers_;
    std::map<EndpointId, Health> health_;
    std::map<std::size_t, std::uint64_t> action_counts_;
};

std::vector<std::uint64_t> recorded_hashes() {
    std::ifstream file(REPLAY_HASHES);
    std::vector<std::uint64_t> hashes;
    for (std::string line; std::getline(file, line);) hashes.push_back(std::stoull(line, nullptr, 16));
    return hashes;
}

TEST(Replay, SeededLifetimesGiveTheRecordedActions) {
    const char* record = std::getenv("REPLAY_RECORD");
    std::ofstream out;
    if (record) out.open(record);
    const std::vector<std::uint64_t> recorded = recorded_hashes();
    if (!record) {
        ASSERT_EQ(recorded.size(), static_cast<std::size_t>(kLifetimes));
    }
    std::map<std::size_t, std::uint64_t> counts;
    for (int seed = 0; seed < kLifetimes; ++seed) {
        Lifetime lifetime(static_cast<std::uint64_t>(seed));
        const std::uint64_t hash = lifetime.hash();
        for (const auto& [kind, count] : lifetime.action_counts()) counts[kind] += count;
        if (record)
            out << std::hex << hash << '\n';
        else
            EXPECT_EQ(hash, recorded[static_cast<std::size_t>(seed)]) << "lifetime " << seed;
    }
    for (const auto& [kind, count] : counts)
        RecordProperty("actions_" + std::to_string(kind), std::to_string(count));
    // All but FetchEndpoints, which the present decisions don't use.
    EXPECT_EQ(counts.size(), std::variant_size_v<Action> - 1) << "a kind of action was never seen";
}

}  // namespace
}  // namespace ochregrade
