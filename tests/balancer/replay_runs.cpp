#include "replay_runs.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include "replay_draws.hpp"
#include "replay_hash.hpp"

namespace ochregrade::test {
namespace {

// A simulated run of one sidecar: endpoints that fail, slow down, restart and are removed, clients that
// disconnect, timers, probes, endpoint lists and gossip. The run handles the events of a queue in the order
// of their times. The balancer's actions add further events to the queue.
class SimulatedRun {
public:
    explicit SimulatedRun(std::uint64_t seed)
        : draws_(seed), settings_(draw_settings(draws_)), balancer_(settings_, seed * 7919 + 1) {}

    void run() {
        start();
        while (!events_.empty() && handled_ < kMaxEvents) {
            const auto next = events_.begin();
            now_ = std::max(now_, next->first.first);
            const ScheduledEvent event = next->second;
            events_.erase(next);
            process(event);
        }
    }
    std::uint64_t hash() const { return hash_.value(); }
    const std::map<std::size_t, std::uint64_t>& action_counts() const { return action_counts_; }

private:
    enum class Kind {
        arrival,
        first_byte,
        attempt_end,
        client_disconnects,
        timer,
        probe_end,
        list_change,
        list_response,
        gossip,
        settings_change,
        fleet_evidence
    };
    struct ScheduledEvent {
        Kind kind = Kind::timer;
        std::uint64_t id = 0;  // id of the request, timer or endpoint
        std::uint32_t attempt = 0;
        Outcome outcome = Outcome::success;
        Millis duration = 0;
    };
    struct OpenRequest {
        std::vector<bool> in_flight;
        bool ended = false;
    };
    enum class Health { healthy, slow, failing, unreachable, overloaded };

    static constexpr int kMaxEvents = 1500, kRequests = 350;
    static constexpr Millis kStartTime = 50000;

    void start() {
        now_ = kStartTime;
        mean_interarrival_ = draws_.one_of({3.0, 20.0, 120.0, 900.0});
        for (EndpointId id = 1, last = static_cast<EndpointId>(1 + draws_.below(40)); id <= last; ++id)
            add_endpoint(id * 7);
        deliver(Started{});
        deliver(EndpointUpdate{EndpointUpdateKind::cached, listed_endpoints()});
        if (draws_.chance(0.3))
            deliver(StateRestored{{{7, draws_.between(0, 9000), draws_.unit()}, {14, 0, 0.4}}});
        if (!settings_.polled_discovery)
            deliver(EndpointUpdate{EndpointUpdateKind::full, listed_endpoints()});
        schedule(draws_.between(0, mean_interarrival_), {Kind::arrival});
        schedule(draws_.between(500, 6000), {Kind::list_change});
        schedule(draws_.between(50, 3000), {Kind::gossip});
        schedule(draws_.between(3000, 60000), {Kind::settings_change});
        if (settings_.evidence_shared) schedule(draws_.between(100, 2000), {Kind::fleet_evidence});
    }

    void add_endpoint(EndpointId id) {
        Endpoint endpoint;
        endpoint.id = id;
        endpoint.zone = static_cast<ZoneId>(draws_.below(3));
        endpoint.cell = static_cast<std::uint32_t>(draws_.below(3));
        endpoint.state = draws_.chance(0.9) ? EndpointState::serving : EndpointState::draining;
        endpoint.started_at = draws_.chance(0.8) ? 0 : now_ - draws_.between(0, 10000);
        endpoint.capacity_weight = draws_.one_of({1.0, 1.0, 2.5, 0.5, 0.0});
        endpoints_[id] = endpoint;
        health_[id] = draw_health();
    }
    Health draw_health() {
        const double drawn = draws_.unit();
        if (drawn < 0.7) return Health::healthy;
        return drawn < 0.78   ? Health::slow
               : drawn < 0.88 ? Health::failing
               : drawn < 0.95 ? Health::unreachable
                              : Health::overloaded;
    }
    std::vector<Endpoint> listed_endpoints() const {
        std::vector<Endpoint> all;
        for (const auto& [id, endpoint] : endpoints_) all.push_back(endpoint);
        return all;
    }

    void schedule(Millis delay, ScheduledEvent event) { events_[{now_ + delay, order_++}] = event; }

    void deliver(const Event& event) {
        ++handled_;
        std::vector<Action> actions;
        balancer_.handle(now_, event, actions);
        hash_.add_number(event.index());
        hash_.add_real(now_);
        for (const Action& action : actions) {
            ++action_counts_[action.index()];
            hash_.add_action(action);
        }
        hash_usage();
        for (const Action& action : actions)
            std::visit([this](const auto& chosen) { execute(chosen); }, action);
    }
    void hash_usage() {
        const auto usage = balancer_.usage();
        for (const std::size_t count : {usage.requests, usage.endpoints, usage.timers, usage.ejected})
            hash_.add_number(count);
        if (handled_ % 50 != 0) return;
        for (const EndpointSnapshot& snapshot : balancer_.snapshot()) {
            hash_.add_number(snapshot.endpoint);
            hash_.add_real(snapshot.ejected_for);
            hash_.add_real(snapshot.latency_ratio);
        }
    }

    void process(const ScheduledEvent& event) {
        switch (event.kind) {
            case Kind::arrival:
                return arrive();
            case Kind::first_byte:
                if (attempt_in_flight(event)) deliver(ResponseStarted{event.id, event.attempt});
                return;
            case Kind::attempt_end:
                return end_attempt(event);
            case Kind::client_disconnects:
                return disconnect(event.id);
            case Kind::timer:
                return deliver(TimerFired{event.id});
            case Kind::probe_end:
                return deliver(ProbeEnded{static_cast<EndpointId>(event.id), event.outcome, event.duration});
            case Kind::list_change:
                return change_list();
            case Kind::list_response:
                return deliver(
                    EndpointUpdate{draws_.chance(0.3) ? EndpointUpdateKind::failed : EndpointUpdateKind::full,
                                   listed_endpoints()});
            case Kind::gossip:
                return receive_from_peer();
            case Kind::settings_change:
                return change_settings();
            case Kind::fleet_evidence:
                return receive_fleet_evidence();
        }
    }

    void arrive() {
        const RequestId id = ++last_request_;
        requests_[id] = {};
        RequestArrived event;
        event.id = id;
        event.class_index = static_cast<std::uint32_t>(
            draws_.below(settings_.classes.size() + (draws_.chance(0.05) ? 1 : 0)));
        event.time_left = draws_.one_of({0.0, 40.0, 400.0, 1500.0, 4000.0});
        event.effort = draws_.chance(0.5) ? draws_.between(0, 80) : 0;
        event.client_retry = draws_.chance(0.1);
        if (draws_.chance(0.1)) event.settings = std::make_shared<const Settings>(settings_);
        if (draws_.chance(0.08)) schedule(draws_.between(0, 800), {Kind::client_disconnects, id});
        if (last_request_ < kRequests) schedule(draw_interarrival(), {Kind::arrival});
        deliver(event);
    }
    Millis draw_interarrival() {
        if (draws_.chance(0.01)) return draws_.between(1000, 15000);  // a pause in traffic
        const Millis mean = draws_.chance(0.1) ? mean_interarrival_ / 20 : mean_interarrival_;
        return mean * 2 * draws_.unit();
    }

    bool attempt_in_flight(const ScheduledEvent& event) const {
        const auto request = requests_.find(event.id);
        return request != requests_.end() && event.attempt < request->second.in_flight.size() &&
               request->second.in_flight[event.attempt];
    }
    void end_attempt(const ScheduledEvent& event) {
        if (!attempt_in_flight(event)) return;
        OpenRequest& request = requests_.at(event.id);
        request.in_flight[event.attempt] = false;
        if (event.outcome == Outcome::success) request.ended = true;
        deliver(AttemptEnded{event.id, event.attempt, event.outcome, event.duration, request.ended});
    }
    void disconnect(RequestId id) {
        OpenRequest& request = requests_.at(id);
        if (request.ended) return;
        request.ended = true;
        deliver(ClientDisconnected{id});
    }

    void change_list() {
        std::vector<Endpoint> changed;
        for (std::uint64_t left = 1 + draws_.below(4); left > 0; --left) changed.push_back(change_endpoint());
        const bool incremental = draws_.chance(0.7);
        schedule(draws_.between(300, 9000), {Kind::list_change});
        deliver(EndpointUpdate{incremental ? EndpointUpdateKind::incremental : EndpointUpdateKind::full,
                               incremental ? changed : listed_endpoints()});
    }
    Endpoint change_endpoint() {
        if (endpoints_.empty() || draws_.chance(0.2)) {
            const auto id = static_cast<EndpointId>(1000 + draws_.below(60));
            add_endpoint(id);
            return endpoints_[id];
        }
        auto position = endpoints_.begin();
        std::advance(position, static_cast<std::ptrdiff_t>(draws_.below(endpoints_.size())));
        Endpoint& endpoint = position->second;
        endpoint.state = draws_.one_of({EndpointState::serving, EndpointState::serving,
                                        EndpointState::draining, EndpointState::removed});
        if (draws_.chance(0.4)) endpoint.started_at = now_;
        health_[endpoint.id] = draw_health();
        const Endpoint changed = endpoint;
        if (endpoint.state == EndpointState::removed) endpoints_.erase(position);
        return changed;
    }

    void receive_from_peer() {
        GossipReceived message;
        message.from = static_cast<std::uint32_t>(draws_.below(900));
        const auto length = draws_.one_of<std::uint64_t>({1, 1, 4, 4, 4, 0, 7});
        for (std::uint64_t i = 0; i < length; ++i)
            message.bytes.push_back(static_cast<std::uint8_t>(draws_.below(256)));
        if (length == 4) message.bytes = {0, 0, 0, static_cast<std::uint8_t>(7 * (1 + draws_.below(20)))};
        schedule(draws_.between(20, 2500), {Kind::gossip});
        deliver(message);
    }

    void change_settings() {
        const std::size_t classes = settings_.classes.size();
        Settings next = draw_settings(draws_);
        while (next.classes.size() < classes) next.classes.push_back(draw_class(draws_));
        if (draws_.chance(0.2)) next.sidecar_count = 0;  // invalid, so it has no effect
        if (next.sidecar_count > 0) settings_ = next;
        schedule(draws_.between(5000, 60000), {Kind::settings_change});
        deliver(SettingsChanged{std::make_shared<const Settings>(next)});
    }

    void receive_fleet_evidence() {
        FleetEvidence fleet;
        for (const auto& [id, endpoint] : endpoints_) {
            if (draws_.chance(0.7)) continue;
            EndpointEvidence evidence;
            evidence.endpoint = id;
            evidence.successes = static_cast<std::uint32_t>(draws_.below(60));
            evidence.failures = static_cast<std::uint32_t>(draws_.below(60));
            evidence.reporters = static_cast<std::uint32_t>(draws_.below(8));
            evidence.direct_reporters = static_cast<std::uint32_t>(draws_.below(evidence.reporters + 1));
            evidence.withdrawals = static_cast<std::uint32_t>(draws_.below(5));
            evidence.recoveries = static_cast<std::uint32_t>(draws_.below(4));
            evidence.latency_reporters = static_cast<std::uint32_t>(draws_.below(6));
            evidence.latency_ratio = draws_.between(0, 1.5);
            fleet.endpoints.push_back(evidence);
        }
        schedule(draws_.between(200, 3000), {Kind::fleet_evidence});
        deliver(fleet);
    }

    // Draws the outcome and the duration of an attempt at an endpoint of the given health.
    std::pair<Outcome, Millis> draw_result(Health health) {
        const double rare = draws_.unit();
        if (rare < 0.02) return {Outcome::connection_reset, draws_.between(1, 300)};
        if (rare < 0.03) return {Outcome::not_sent, 0};
        switch (health) {
            case Health::slow:
                return {Outcome::success, draws_.between(300, 2500)};
            case Health::failing:
                return {draws_.chance(0.8) ? Outcome::server_error : Outcome::success, draws_.between(1, 40)};
            case Health::unreachable:
                return {Outcome::connect_failure, draws_.between(0, 200)};
            case Health::overloaded:
                return {draws_.chance(0.6) ? Outcome::overloaded : Outcome::success, draws_.between(1, 400)};
            case Health::healthy:
                break;
        }
        return {Outcome::success, draws_.between(5, 250)};
    }

    void execute(const SendAttempt& send) {
        OpenRequest& request = requests_.at(send.id);
        const auto attempt = static_cast<std::uint32_t>(request.in_flight.size());
        request.in_flight.push_back(true);
        auto [outcome, duration] = draw_result(health_[send.endpoint]);
        if (now_ + duration > send.give_up_at)
            outcome = Outcome::timeout, duration = std::max(0.0, send.give_up_at - now_);
        if (outcome == Outcome::success && draws_.chance(0.1))
            schedule(duration / 2, {Kind::first_byte, send.id, attempt});
        schedule(duration, {Kind::attempt_end, send.id, attempt, outcome, duration});
    }
    void execute(const CancelAttempt& cancel) {
        schedule(0, {Kind::attempt_end, cancel.id, cancel.attempt, Outcome::cancelled, 1});
    }
    void execute(const RejectRequest& rejected) { requests_.at(rejected.id).ended = true; }
    void execute(const FailRequest& failed) { requests_.at(failed.id).ended = true; }
    void execute(const SetTimer& timer) {
        schedule(std::max(0.0, timer.at - now_), {Kind::timer, timer.token});
    }
    void execute(const SendProbe& probe) {
        const bool responds = health_[probe.endpoint] == Health::healthy || draws_.chance(0.4);
        schedule(draws_.between(1, 60),
                 {Kind::probe_end, probe.endpoint, 0, responds ? Outcome::success : Outcome::timeout, 5});
    }
    void execute(const SubscribeEndpoints&) { schedule(draws_.between(5, 400), {Kind::list_response}); }
    void execute(const CloseIdleConnections&) {}
    void execute(const SendGossip&) {}
    void execute(const FetchEndpoints&) {}
    void execute(const LogMessage&) {}
    void execute(const PublishEvidence&) {}

    RandomDraws draws_;
    Settings settings_;
    Balancer balancer_;
    ReplayHash hash_;
    Millis now_ = 0, mean_interarrival_ = 0;
    std::map<std::pair<Millis, std::uint64_t>, ScheduledEvent> events_;
    std::uint64_t order_ = 0;
    int handled_ = 0;
    RequestId last_request_ = 0;
    std::map<RequestId, OpenRequest> requests_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<EndpointId, Health> health_;
    std::map<std::size_t, std::uint64_t> action_counts_;
};

}  // namespace

ReplayedRun replay_run(std::uint64_t seed) {
    SimulatedRun simulated(seed);
    simulated.run();
    return {simulated.hash(), simulated.action_counts()};
}

}  // namespace ochregrade::test
