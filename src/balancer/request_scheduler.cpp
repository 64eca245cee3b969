#include "balancer/request_scheduler.hpp"

#include <algorithm>

namespace ochregrade::detail {

namespace {

// Share of the latency objective for which a request may wait in the queue, from its arrival. After that
// time, a client retry has a better chance than further waiting.
constexpr double kMaxWaitShare = 1.0 / 16;
// Shortest retry_after of a rejection.
constexpr Millis kMinRetryAfter = 1;

RequestClass class_of(const RequestArrived& arrived, const Settings& settings) {
    RequestClass request_class;
    if (arrived.class_index < settings.classes.size()) {
        request_class = settings.classes[arrived.class_index];
    } else {  // an unknown class gets the most restrictive treatment
        request_class.idempotency = Idempotency::not_idempotent;
        request_class.latency_objective = std::max(1.0, arrived.time_left);
    }
    request_class.latency_objective += request_class.objective_per_effort * std::max(0.0, arrived.effort);
    return request_class;
}

// The highest priority weight of all classes; 1 if all weights are 0, because the result is a divisor.
double highest_priority_weight(const Settings& settings) {
    double highest = 0;
    for (const RequestClass& request_class : settings.classes)
        highest = std::max(highest, request_class.priority_weight);
    return highest == 0 ? 1 : highest;
}

}  // namespace

void RequestScheduler::accept(const RequestArrived& arrived) {
    Request* request = parts_.requests.insert(arrived.id);
    if (!request) return;
    const Millis now = parts_.context.now;
    const bool own_settings = arrived.settings && !arrived.settings->classes.empty();
    request->settings = own_settings ? arrived.settings : parts_.context.settings;
    request->client_retry = arrived.client_retry;
    request->request_class = class_of(arrived, *request->settings);
    request->highest_priority_weight = highest_priority_weight(*request->settings);
    request->deadline = now + std::max(0.0, arrived.time_left);
    request->queue_deadline =
        std::min(request->deadline, now + request->request_class.latency_objective * kMaxWaitShare);
    parts_.retry_policy.record_request();
    parts_.timers.set(request->deadline, {TimerPurpose::request, request->id});
    schedule(*request);
}

void RequestScheduler::schedule(Request& request) {
    if (parts_.admission.admits(request.request_class.priority_weight, request.highest_priority_weight,
                                request.client_retry)) {
        const Selection selection = parts_.selector.select(request);
        if (selection.kind == SelectionKind::endpoint) return send(request, *selection.first);
        if (selection.kind == SelectionKind::probe_race)
            parts_.races.start(request, *selection.first, *selection.second);
        if (request.pending_probes > 0) return;  // probe_ended() continues when a probe ends
    }
    wait_for_endpoint(request);
}

// Queues a request that is not admitted or that no endpoint can take now. Completes the request instead if
// its attempts are exhausted or its queue deadline has passed. Does nothing while the request has an attempt
// in flight. At the queue deadline, a timer schedules a request that still waits, and the request is
// completed if no endpoint can take it then.
void RequestScheduler::wait_for_endpoint(Request& request) {
    if (request.any_in_flight()) return;
    if (RetryPolicy::are_attempts_exhausted(request)) return complete(request, EndReason::attempts_exhausted);
    if (parts_.context.now >= request.queue_deadline) return complete(request, EndReason::no_capacity);
    parts_.requests.enqueue(request.id);
    if (request.queue_timer_set) return;
    request.queue_timer_set = true;
    parts_.timers.set(request.queue_deadline, {TimerPurpose::request, request.id});
}

void RequestScheduler::send(Request& request, EndpointRecord& endpoint) {
    const bool trial = parts_.outliers.start_trial(endpoint);
    const Millis write_deadline = std::min(request.deadline, RetryPolicy::repeat_deadline(request));
    if (!request.attempts.empty()) parts_.retry_policy.record_retry();
    ++endpoint.in_flight;
    parts_.admission.attempt_sent();
    request.pending_probes = 0;
    request.probe_rounds = 0;
    const Endpoint& info = endpoint.info;
    request.attempts.push_back({info.id, info.zone, info.cell, parts_.context.now, true, true, trial});
    parts_.context.append_action(SendAttempt{request.id, info.id, request.deadline, write_deadline});
}

void RequestScheduler::schedule_queued() {
    if (parts_.requests.is_queue_empty() || parts_.admission.is_full()) return;
    std::vector<RequestId> waiting = parts_.requests.take_queue();
    std::reverse(waiting.begin(), waiting.end());
    for (const RequestId id : waiting) schedule(*parts_.requests.find(id));
}

void RequestScheduler::probe_ended(RequestId id, EndpointRecord* endpoint) {
    Request* request = parts_.requests.find(id);
    if (!request || request->pending_probes == 0) return;  // the request no longer waits for a probe
    if (endpoint && parts_.selector.may_use(*request, *endpoint)) {
        request->pending_probes = 0;
        send(*request, *endpoint);
    } else if (--request->pending_probes == 0 && !request->ended && !request->any_in_flight()) {
        schedule(*request);
    }
}

void RequestScheduler::complete(Request& request, EndReason reason) {
    if (request.ended || request.streaming) return;
    cancel_attempts(request);
    if (parts_.retry_policy.may_reject(request))
        parts_.context.append_action(RejectRequest{request.id, retry_after(request), reason});
    else
        parts_.context.append_action(FailRequest{request.id, reason});
    request.ended = true;
    parts_.requests.note_ended(request.id);
}

// Milliseconds until the client should retry, at least kMinRetryAfter. If an endpoint is available: the mean
// response time (utilisation times latency objective), after which there should be capacity. If all endpoints
// in service are ejected: the time until the first backoff expires. If none is in service: kEjectionBackoff.
Millis RequestScheduler::retry_after(const Request& request) const {
    Millis first_trial = kEjectionBackoff;
    for (const EndpointRecord* endpoint : parts_.endpoints.in_service()) {
        if (endpoint->ejection.is_available())
            return std::max(kMinRetryAfter,
                            parts_.admission.utilisation() * request.request_class.latency_objective);
        first_trial = std::min(first_trial, endpoint->ejection.backoff_until() - parts_.context.now);
    }
    return std::max(kMinRetryAfter, first_trial);
}

void RequestScheduler::cancel_attempts(const Request& request) {
    if (!request.settings->cancel_allowed) return;
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].in_flight) parts_.context.append_action(CancelAttempt{request.id, i});
}

}  // namespace ochregrade::detail
