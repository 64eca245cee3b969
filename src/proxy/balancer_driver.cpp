// Turns what happens to requests, attempts and endpoints into events for the balancer. The balancer's actions
// are executed in balancer_driver_actions.cpp.
#include "proxy/balancer_driver.hpp"

#include <algorithm>
#include <cstdlib>

namespace ochregrade::sidecar {

namespace {

// Whether the status is a 4xx that concerns the request itself: every endpoint would respond the same, so the
// response is forwarded and counts neither for nor against the endpoint. 408 (timeout) and 429 are not
// forwarded but treated as failures of the attempt; a 429 would promise the client that the request never
// ran.
bool is_request_error(unsigned status) {
    return status >= 400 && status < 500 && status != 408 && status != 429;
}

// The balancer's event for a new request, from the request's headers.
RequestArrived arrival_event(RequestId id, const HttpRequest& message, Millis time_left,
                             const ConfigSnapshot& snapshot) {
    RequestArrived event;
    event.id = id;
    event.time_left = time_left;
    event.client_retry = message["X-Repeat"] == "1";
    const auto hint = message["X-Weight-Hint"];
    if (!hint.empty()) event.effort = std::max(0.0, std::atof(std::string(hint).c_str()) / 1000);
    const auto class_name = message["X-Service-Class"];
    event.class_index =
        static_cast<std::uint32_t>(snapshot.config.class_index({class_name.data(), class_name.size()}));
    event.settings = snapshot.settings;
    return event;
}

RequestFacts initial_facts(const RequestArrived& event, const Settings& settings, Millis now) {
    RequestFacts facts;
    if (event.class_index < settings.classes.size()) facts.kind = settings.classes[event.class_index];
    facts.deadline = now + event.time_left;
    facts.max_attempts = settings.max_attempts;
    facts.hedging_allowed = settings.hedging_allowed;
    return facts;
}

}  // namespace

BalancerDriver::BalancerDriver(asio::io_context& io, const Clock& clock, Zones& zones,
                               ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits)
    : io_(io),
      clock_(clock),
      snapshot_(std::move(snapshot)),
      balancer_(*snapshot_->settings, snapshot_->config.seed),
      upstream_(
          io, clock, limits,
          {[this](AttemptKey key, Outcome outcome, HttpResponse* response) {
               attempt_ended(key, outcome, response);
           },
           [this](EndpointId id, Outcome outcome, Millis duration) { probe_ended(id, outcome, duration); },
           [this](AttemptKey key, bool partly_written) { return may_write(key, partly_written); }}),
      timer_(io),
      endpoints_(clock, zones) {}

BalancerDriver::~BalancerDriver() = default;

void BalancerDriver::connect_to(DiscoveryClient& discovery, GossipTransport* gossip) {
    discovery_ = &discovery;
    gossip_ = gossip;
}

void BalancerDriver::start() {
    enqueue(Started{});
    if (snapshot_->config.known_endpoints) endpoints_received(*snapshot_->config.known_endpoints, true);
}

void BalancerDriver::apply(ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits) {
    handle_events();
    snapshot_ = std::move(snapshot);
    upstream_.set_limits(limits);
    enqueue(SettingsChanged{snapshot_->settings});
    handle_events();
}

BalancerDriver::Usage BalancerDriver::usage() const {
    const Balancer::Usage balancer = balancer_.usage();
    return {requests_.size() + balancer.requests,
            upstream_.in_flight(),
            endpoints_.size(),
            balancer.endpoints,
            upstream_.pools(),
            upstream_.open(),
            balancer.ejected};
}

// ---- Event queue

void BalancerDriver::enqueue(Event event) {
    events_.push_back(std::move(event));
    if (handling_posted_) return;
    handling_posted_ = true;
    asio::post(io_, [this] { handle_events(); });
}

void BalancerDriver::handle_events() {
    handling_posted_ = false;
    while (!events_.empty()) {
        const Event event = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        balancer_.handle(clock_.now(), event, actions_);
        for (const Action& action : actions_)
            std::visit([this](const auto& typed_action) { execute(typed_action); }, action);
        if (const auto* ended = std::get_if<AttemptEnded>(&event)) remove_request_if_done(ended->id);
    }
    start_timer();
}

// ---- Timers

void BalancerDriver::start_timer() {
    if (timers_.empty()) return;
    const Millis next = timers_.first_due();
    if (timer_set_for_ == next) return;
    timer_set_for_ = next;
    timer_.expires_at(clock_.point(next));
    timer_.async_wait([this](error_code ec) {
        if (!ec) on_timer();
    });
}

void BalancerDriver::on_timer() {
    timer_set_for_ = 0;
    const Millis now = clock_.now();
    while (!timers_.empty() && timers_.first_due() <= now) {
        const TimerQueue::Timer timer = timers_.pop();
        if (timer.attempt)
            upstream_.expire(*timer.attempt);
        else
            enqueue(TimerFired{timer.token});
    }
    start_timer();
}

// ---- Requests

RequestId BalancerDriver::request_arrived(RequestPtr message, Millis time_left, std::weak_ptr<Client> client,
                                          ConfigSnapshotPtr snapshot) {
    const RequestId id = next_request_id_++;
    ++totals_.arrived;
    const RequestArrived event = arrival_event(id, *message, time_left, *snapshot);
    PendingRequest& request = requests_[id];
    request.facts = initial_facts(event, *snapshot->settings, clock_.now());
    request.correlation_id = std::string((*message)["X-Correlation-Id"]);
    request.message = std::move(message);
    request.client = std::move(client);
    request.snapshot = std::move(snapshot);
    ++pending_requests_;
    if (tracing()) trace("arrived", request, {{"time_left_ms", time_left}});
    enqueue(event);
    return id;
}

bool BalancerDriver::client_disconnected(RequestId id) {
    PendingRequest* request = find_request(id);
    if (!request || request->ended) return false;
    request->ended = true;
    request->facts.client_disconnected = true;
    if (tracing()) trace("client_left", *request, {});
    --pending_requests_;
    ++totals_.client_disconnects;
    upstream_.withdraw_request(id);
    const bool repeat_forbidden =
        request->facts.kind.idempotency != Idempotency::idempotent && may_have_run(id, request->facts);
    enqueue(ClientDisconnected{id});
    remove_request_if_done(id);
    return repeat_forbidden;
}

// Whether an endpoint may have run the request, or may yet: attempts in flight that were not written
// completely have been withdrawn.
bool BalancerDriver::may_have_run(RequestId id, const RequestFacts& facts) const {
    return upstream_.has_attempts(id) ||
           std::any_of(facts.attempts.begin(), facts.attempts.end(),
                       [](const AttemptFacts& attempt) { return attempt.may_have_run; });
}

// The balancer is notified as if the client had disconnected: the balancer then sends no response of its own,
// and cancels the attempts in flight if the settings allow it. Attempts that are not written completely are
// withdrawn in any case (send_final_response()).
void BalancerDriver::fail_for_pipelined(RequestId id) {
    PendingRequest* request = find_request(id);
    if (!request || request->ended) return;
    ++totals_.failures[static_cast<std::size_t>(EndReason::pipelined_requests)];
    if (tracing()) trace("failed", *request, {{"reason", to_string(EndReason::pipelined_requests)}});
    send_final_response(id, *request, HttpResponse(http::status::bad_gateway, 11), totals_.failed);
    enqueue(ClientDisconnected{id});
    remove_request_if_done(id);
}

void BalancerDriver::send_final_response(RequestId id, PendingRequest& request, HttpResponse response,
                                         std::uint64_t& total) {
    if (request.ended) return;
    request.ended = true;
    request.facts.answered = true;
    rule_guard_.check_final_response(request.facts.deadline, clock_.now());
    --pending_requests_;
    ++total;
    if (tracing()) trace("answered", request, {{"status", response.result_int()}});
    // A forwarded 4xx concerns the request itself and shows nothing about the configuration.
    if (on_final_response && &total != &totals_.forwarded_errors)
        on_final_response(request.snapshot->version, &total == &totals_.served);
    if (const auto client = request.client.lock()) client->send_response(std::move(response));
    upstream_.withdraw_request(id);
}

PendingRequest* BalancerDriver::find_request(RequestId id) {
    const auto at = requests_.find(id);
    return at == requests_.end() ? nullptr : &at->second;
}

void BalancerDriver::remove_request_if_done(RequestId id) {
    const auto at = requests_.find(id);
    if (at != requests_.end() && at->second.ended && at->second.in_flight == 0) requests_.erase(at);
}

void BalancerDriver::trace(std::string_view event, const PendingRequest& request,
                           std::initializer_list<std::pair<std::string_view, nlohmann::json>> details) const {
    std::vector<std::pair<std::string_view, nlohmann::json>> fields(details);
    fields.emplace_back("id", request.correlation_id);
    trace_event(event, fields);
}

// ---- Attempts and probes

// Whether the attempt may be written now. Between the decision and the write, the client may have
// disconnected or the endpoint may have been listed as draining. The kernel knows of a disconnect before this
// process has read it, so the client's socket is checked. An attempt that is partly written may be completed
// at a draining endpoint.
bool BalancerDriver::may_write(AttemptKey key, bool partly_written) {
    PendingRequest* request = find_request(key.id);
    if (!request) return false;
    if (!request->ended)
        if (const auto client = request->client.lock()) client->check_disconnected();
    request = find_request(key.id);  // check_disconnected() may have removed the request
    if (!request) return false;
    EndpointFacts endpoint = endpoints_.facts(request->facts.attempts[key.attempt].endpoint);
    endpoint.serving |= partly_written;
    const auto withheld = rule_guard_.check_send(request->facts, key.attempt, endpoint, clock_.now());
    if (withheld && tracing())
        trace("withheld", *request, {{"attempt", key.attempt}, {"reason", to_string(*withheld)}});
    return !withheld;
}

void BalancerDriver::attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response) {
    PendingRequest* request = find_request(key.id);
    if (!request) return;
    --request->in_flight;
    AttemptFacts& attempt = request->facts.attempts[key.attempt];
    const EndpointId endpoint = attempt.endpoint;
    AttemptEnded event{key.id, key.attempt, outcome, clock_.now() - attempt.sent_at, false};
    const bool request_error = response && is_request_error(response->result_int());
    if (request_error) event.outcome = Outcome::cancelled;
    if ((outcome == Outcome::success || request_error) && !request->ended && response)
        forward_response(key.id, *request, *response, request_error);
    attempt.in_flight = false;
    attempt.may_have_run = !proves_never_ran(event.outcome);
    request->last_outcome = event.outcome;
    if (tracing())
        trace("attempt_ended", *request,
              {{"attempt", key.attempt}, {"outcome", to_string(event.outcome)}, {"ms", event.duration}});
    event.request_ended = request->ended;
    enqueue(event);
    release_endpoint(endpoint);
}

void BalancerDriver::forward_response(RequestId id, PendingRequest& request, HttpResponse& response,
                                      bool request_error) {
    strip_hop_by_hop(response);
    response.erase("X-Backend-Load");
    send_final_response(id, request, std::move(response),
                        request_error ? totals_.forwarded_errors : totals_.served);
}

void BalancerDriver::probe_ended(EndpointId id, Outcome outcome, Millis duration) {
    enqueue(ProbeEnded{id, outcome, duration});
    release_endpoint(id);
}

void BalancerDriver::release_endpoint(EndpointId id) {
    if (UpstreamEndpoint* endpoint = endpoints_.find(id)) --endpoint->in_flight;
    endpoints_.remove_if_unused(id);
}

// ---- Endpoints

void BalancerDriver::endpoints_received(const EndpointList& list, bool cached) {
    EndpointUpdate event;
    event.kind = cached          ? EndpointUpdateKind::cached
                 : list.complete ? EndpointUpdateKind::full
                                 : EndpointUpdateKind::incremental;
    EndpointTable::Changes changes = endpoints_.update(list);
    event.endpoints = std::move(changes.updates);
    has_endpoints_ = true;
    const std::vector<EndpointId> not_serving = endpoints_.not_serving();
    // Attempts that are connecting to moved, draining or removed endpoints are withdrawn below. The balancer
    // gets the list first, so that it does not retry these attempts at an endpoint that is draining or
    // removed in the list.
    enqueue(std::move(event));
    for (const EndpointId id : changes.moved) upstream_.withdraw_endpoint(id);
    for (const EndpointId id : not_serving) upstream_.withdraw_endpoint(id);
    for (const EndpointId id : not_serving) endpoints_.remove_if_unused(id);
}

void BalancerDriver::discovery_failed() { enqueue(EndpointUpdate{EndpointUpdateKind::failed, {}}); }

std::vector<NamedEndpointSnapshot> BalancerDriver::endpoint_snapshots() const {
    std::vector<NamedEndpointSnapshot> named;
    for (const EndpointSnapshot& snapshot : balancer_.snapshot())
        if (const UpstreamEndpoint* endpoint = endpoints_.find(snapshot.endpoint))
            named.push_back(
                {endpoint->name, endpoint->started_at, snapshot.ejected_for, snapshot.latency_ratio});
    return named;
}

void BalancerDriver::restore(const std::vector<NamedEndpointSnapshot>& snapshots) {
    StateRestored event;
    for (const NamedEndpointSnapshot& snapshot : snapshots) {
        const auto id = endpoints_.find_id(snapshot.name);
        // The state of an earlier process with the same name does not apply.
        if (!id || endpoints_.find(*id)->started_at != snapshot.started_at) continue;
        event.endpoints.push_back({*id, snapshot.ejected_for, snapshot.latency_ratio});
    }
    enqueue(std::move(event));
}

// ---- Other sidecars

replication::EndpointKey BalancerDriver::endpoint_key_of(const ListedEndpoint& endpoint) const {
    return endpoints_.key_of(endpoint);
}

void BalancerDriver::evidence_received(const std::vector<replication::EndpointTotals>& evidence) {
    const auto ids = endpoints_.ids_by_key();
    FleetEvidence event;
    for (const replication::EndpointTotals& totals : evidence) {
        const auto id = ids.find(totals.endpoint);
        if (id == ids.end()) continue;
        event.endpoints.push_back({id->second, totals.successes, totals.failures, totals.reporters,
                                   totals.direct_reporters, totals.withdrawals, totals.recoveries,
                                   totals.latency_reporters, totals.latency_ratio});
    }
    enqueue(std::move(event));
}

void BalancerDriver::gossip_received(std::uint32_t from, std::vector<std::uint8_t> bytes) {
    enqueue(GossipReceived{from, std::move(bytes)});
}

}  // namespace ochregrade::sidecar
