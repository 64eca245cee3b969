// Event dispatcher of the decision library: passes each event to the modules in order and makes no decisions
// itself.
//
// The path of a request: RequestScheduler accepts the request and sets the timer of its deadline.
// AdmissionController decides whether there is capacity, and EndpointSelector selects the endpoint. The
// request is then sent with the client's deadline, or it waits for a probe or in the queue. When the attempt
// ends, its outcome goes to load reports, admission, attempt statistics, gossip, shared evidence and outlier
// detection, in that order. Then the request has ended, is scheduled again or is completed. Only
// RequestScheduler::complete() makes the library send a final response of its own. Every attempt requires
// RetryPolicy::may_send(), and every rejection requires RetryPolicy::may_reject().
#include "ochregrade/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "balancer/modules.hpp"
#include "balancer/settings_validation.hpp"

namespace ochregrade {

using namespace detail;

namespace {

SettingsPtr validated(Settings settings) {
    validate(settings);
    return std::make_shared<const Settings>(std::move(settings));
}

}  // namespace

struct Balancer::Impl : Modules {
    Impl(Settings settings, std::uint64_t seed) : Modules(validated(std::move(settings)), seed) {}

    // ---- Settings and endpoints -------------------------------------------------------------------------

    void on(const Started&) {
        if (context.settings->polled_discovery) watch.subscribe();
    }

    void on(const SettingsChanged& event) {
        if (!event.settings) return;
        try {
            validate(*event.settings);
        } catch (const std::invalid_argument& error) {
            return context.append_action(LogMessage{error.what(), {}});
        }
        const bool subscribe = event.settings->polled_discovery && !context.settings->polled_discovery;
        context.settings = event.settings;
        if (!context.settings->evidence_shared) evidence.clear_fleet_evidence();
        if (subscribe) watch.subscribe();
        scheduler.schedule_queued();  // the endpoint subset and slow start may differ under the new settings
    }

    void on(const EndpointUpdate& update) {
        if (update.kind == EndpointUpdateKind::failed) return watch.schedule_retry();
        const double capacity_before = endpoints.capacity(slow_start);
        endpoints.apply(update);
        if (watch.has_current_list())  // replacing a stale cached list shows no change of capacity
            admission.record_capacity_change(capacity_before, endpoints.capacity(slow_start));
        watch.list_received(update.kind);
        for (const EndpointId id : endpoints.removed_and_idle()) erase_if_removed_and_idle(id);
        scheduler.schedule_queued();
    }

    // For each request that waits for a probe of the erased endpoint, the probe counts as ended without
    // success.
    void erase_if_removed_and_idle(EndpointId id) {
        if (!endpoints.erase_if_removed_and_idle(id)) return;
        for (const RequestId request : races.take_waiters(id)) scheduler.probe_ended(request, nullptr);
    }

    void on(const StateRestored& event) {
        for (const EndpointSnapshot& snapshot : event.endpoints) {
            EndpointRecord* endpoint = endpoints.find(snapshot.endpoint);
            if (!endpoint || endpoint->in_flight > 0) continue;
            if (endpoint->ejection.outcomes() > 0 || !endpoint->ejection.is_available()) continue;
            if (snapshot.latency_ratio > 0 && std::isfinite(snapshot.latency_ratio))
                endpoint->latency_ratio = std::min(kMaxLatencyRatio, snapshot.latency_ratio);
            if (outliers.restore(*endpoint, snapshot)) evidence.publish(*endpoint, PublishReason::update);
        }
    }

    // ---- Requests ---------------------------------------------------------------------------------------

    void on(const RequestArrived& event) {
        if (requests.find(event.id)) return;
        subset.record_arrival();
        scheduler.accept(event);
    }

    void on(const ResponseStarted& event) {
        Request* request = requests.find(event.id);
        if (request && event.attempt < request->attempts.size()) request->streaming = true;
    }

    void on(const AttemptEnded& event) {
        Request* request = requests.find(event.id);
        if (!request || event.attempt >= request->attempts.size()) return;
        Attempt& attempt = request->attempts[event.attempt];
        if (!attempt.in_flight) return;
        attempt.in_flight = false;
        admission.attempt_ended();
        attempt.may_have_run = !proves_never_ran(event.outcome);
        if (EndpointRecord* endpoint = endpoints.find(attempt.endpoint)) {
            record_outcome(*endpoint, *request, attempt, event);
            // Idle connections of many sidecars fill an endpoint's connection table: the endpoint slows down
            // and then refuses new connections. With low traffic, the next request to the endpoint comes so
            // late that a new connection for that request costs less than an idle one until then.
            if (endpoint->in_flight == 0 && subset.is_traffic_low())
                context.append_action(CloseIdleConnections{attempt.endpoint});
            erase_if_removed_and_idle(attempt.endpoint);
        }
        continue_request(*request, event.request_ended);
        scheduler.schedule_queued();
    }

    void record_outcome(EndpointRecord& endpoint, const Request& request, const Attempt& attempt,
                        const AttemptEnded& event) {
        const Millis objective = request.request_class.latency_objective;
        const bool success = event.outcome == Outcome::success;
        --endpoint.in_flight;
        if (const auto ratio = latency_ratio_of(event.outcome, event.duration, objective))
            record_latency_ratio(endpoint, *ratio, success);
        if (success || event.outcome == Outcome::connect_failure) record_reachability(endpoint, success);
        statistics.record(success, success && event.duration <= objective);
        if (success)
            gossip.record_success(endpoint);
        else if (event.outcome != Outcome::cancelled && event.outcome != Outcome::not_sent)
            gossip.record_failure(endpoint);
        evidence.record_outcome(endpoint, event.outcome);
        const bool late = event.duration > objective && !slow_start.is_cold(endpoint);
        switch (outliers.record_outcome(endpoint, attempt.trial, event.outcome, late)) {
            case EjectionChange::none:
                break;
            case EjectionChange::ejected:
                evidence.publish(endpoint, PublishReason::update);
                break;
            case EjectionChange::restored:
                evidence.record_recovery(endpoint);
                break;
        }
    }

    void record_latency_ratio(EndpointRecord& endpoint, double ratio, bool success) {
        smooth(endpoint.latency_ratio, ratio);
        // Two kinds of samples do not show the load of the pool: those of a cold endpoint, which is slow at
        // any load, and failed attempts at a suspected endpoint, which show a fault of that endpoint.
        if (slow_start.is_cold(endpoint) || (!success && gossip.suspicion(endpoint) > 0)) return;
        load_reports.record_latency_ratio(ratio);
        admission.record_latency_ratio(ratio);
    }

    // Failed connections show lost capacity seconds before the endpoint list does. The capacity change is
    // computed over the endpoint subset, because this sidecar sends nothing to other endpoints.
    void record_reachability(EndpointRecord& endpoint, bool reachable) {
        if (endpoint.reachable == reachable) return;
        endpoint.reachable = reachable;
        if (reachable) return;
        const double remaining_capacity = subset.reachable_capacity_besides(endpoint);
        const double lost_capacity = endpoint.info.capacity_weight * slow_start.slow_start_share(endpoint);
        admission.record_capacity_change(remaining_capacity + lost_capacity, remaining_capacity);
    }

    // Completes a request or schedules it again after one of its attempts has ended; before its deadline, a
    // request with another attempt in flight waits for that attempt. Without the retry budget, each request
    // would be sent to an overloaded pool as often as the attempt limit allows.
    void continue_request(Request& request, bool client_has_final_response) {
        if (client_has_final_response) request.ended = true;
        if (request.ended) requests.note_ended(request.id);
        if (context.now >= request.deadline)
            scheduler.complete(request, EndReason::deadline_exceeded);
        else if (!request.any_in_flight() && retry_policy.is_budget_exhausted())
            scheduler.complete(request, EndReason::retry_budget_exhausted);
        else if (!request.ended && !request.any_in_flight())
            scheduler.schedule(request);
    }

    void on(const ClientDisconnected& event) {
        Request* request = requests.find(event.id);
        if (!request) return;
        scheduler.cancel_attempts(*request);
        request->ended = true;
        requests.note_ended(event.id);
    }

    void on(const TimerFired& event) {
        const std::optional<Timer> timer = timers.take(event.token);
        if (!timer) return;
        if (timer->purpose == TimerPurpose::resubscribe) return watch.subscribe();
        Request* request = requests.find(timer->request);
        if (!request || request->ended) return;
        if (context.now >= request->deadline)
            scheduler.complete(*request, EndReason::deadline_exceeded);
        else if (!request->any_in_flight())
            scheduler.schedule(*request);
    }

    // ---- Probes and peers -------------------------------------------------------------------------------

    void on(const ProbeEnded& event) {
        const std::optional<RequestId> request = races.take_waiter(event.endpoint);
        if (!request) return;
        EndpointRecord* endpoint = endpoints.find(event.endpoint);
        const bool usable =
            endpoint && event.outcome == Outcome::success && endpoint->ejection.is_available();
        scheduler.probe_ended(*request, usable ? endpoint : nullptr);
    }

    void on(const GossipReceived& event) {
        if (const auto ratio = load_reports.receive(event)) admission.record_peer_latency_ratio(*ratio);
        gossip.receive(event, endpoints);
    }

    void on(const FleetEvidence& event) { evidence.receive(event); }
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    impl_->context.now = std::max(impl_->context.now, now);
    impl_->context.actions = &actions;
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->requests.erase_ended();
}

std::vector<EndpointSnapshot> Balancer::snapshot() const { return impl_->outliers.snapshot(); }

Balancer::Usage Balancer::usage() const {
    std::size_t ejected = 0;
    for (const auto& [id, endpoint] : impl_->endpoints.records())
        ejected += endpoint.listed && !endpoint.ejection.is_available();
    return {impl_->requests.size(), impl_->endpoints.size(), impl_->timers.size(), ejected};
}

}  // namespace ochregrade
