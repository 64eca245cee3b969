#include "proxy/balancer_driver.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

#include "common/endpoint_id.hpp"
#include "common/log.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/gossip_transport.hpp"
#include "fleet/replication_driver.hpp"

namespace ochregrade::sidecar {

std::string_view to_string(EndReason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(EndReason::count)> kNames = {
        "deadline", "no_capacity", "attempts_used", "retry_budget", "requests_behind"};
    return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(Outcome outcome) {
    constexpr std::array<std::string_view, kOutcomeCount> kNames = {
        "ok", "error", "overloaded", "timeout", "no_connect", "reset_in_flight", "cancelled", "not_sent"};
    return kNames.at(static_cast<std::size_t>(outcome));
}

ZoneId Zones::number(const std::string& name) {
    const auto next = static_cast<ZoneId>(numbers_.size());
    if (numbers_.size() >= kMost && numbers_.count(name) == 0) return next;
    return numbers_.try_emplace(name, next).first->second;
}

BalancerDriver::BalancerDriver(asio::io_context& io, const Clock& clock, Zones& zones,
                               ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits)
    : io_(io),
      clock_(clock),
      zones_(zones),
      snapshot_(std::move(snapshot)),
      balancer_(*snapshot_->settings, snapshot_->config.seed),
      upstream_(
          io, clock, limits,
          {[this](AttemptKey key, Outcome outcome, HttpResponse* response) {
               attempt_ended(key, outcome, response);
           },
           [this](EndpointId id, Outcome outcome, Millis duration) { probe_ended(id, outcome, duration); },
           [this](AttemptKey key, bool begun) { return may_write(key, begun); }}),
      timer_(io) {}

BalancerDriver::~BalancerDriver() = default;

void BalancerDriver::connect_to(DiscoveryClient& discovery, GossipTransport* peers) {
    discovery_ = &discovery, peers_ = peers;
}

void BalancerDriver::start() {
    push(Started{});
    if (snapshot_->config.known_endpoints) endpoints_received(*snapshot_->config.known_endpoints, true);
}

void BalancerDriver::apply(ConfigSnapshotPtr snapshot, UpstreamPool::Limits limits) {
    pump();
    snapshot_ = std::move(snapshot);
    upstream_.set_limits(limits);
    push(SettingsChanged{snapshot_->settings});
    pump();
}

BalancerDriver::Usage BalancerDriver::usage() const {
    const Balancer::Usage module = balancer_.usage();
    return {requests_.size() + module.requests,
            upstream_.in_flight(),
            servers_.size(),
            module.endpoints,
            upstream_.pools(),
            upstream_.open(),
            module.ejected};
}

// ---- Events
// -------------------------------------------------------------------------------------------------

void BalancerDriver::push(Event event) {
    events_.push_back(std::move(event));
    if (pump_posted_) return;
    pump_posted_ = true;
    asio::post(io_, [this] { pump(); });
}

void BalancerDriver::pump() {
    pump_posted_ = false;
    while (!events_.empty()) {
        const Event event = std::move(events_.front());
        events_.pop_front();
        actions_.clear();
        balancer_.handle(clock_.now(), event, actions_);
        for (const Action& action : actions_) std::visit([this](const auto& a) { carry_out(a); }, action);
        if (const auto* ended = std::get_if<AttemptEnded>(&event)) drop_request(ended->id);
    }
    arm();
}

RequestId BalancerDriver::request_arrived(RequestPtr message, Millis time_left, std::weak_ptr<Client> client,
                                          ConfigSnapshotPtr snapshot) {
    const RequestId id = next_request_++;
    ++totals_.arrived;
    RequestArrived event;
    event.id = id;
    event.time_left = time_left;
    event.client_retry = (*message)["X-Repeat"] == "1";
    const auto hint = (*message)["X-Weight-Hint"];
    if (!hint.empty()) event.effort = std::max(0.0, std::atof(std::string(hint).c_str()) / 1000);
    const auto name = (*message)["X-Service-Class"];
    event.class_index = static_cast<std::uint32_t>(snapshot->config.class_index({name.data(), name.size()}));
    event.settings = snapshot->settings;
    Request& request = requests_[id];
    const Settings& settings = *snapshot->settings;
    if (event.class_index < settings.classes.size()) request.facts.kind = settings.classes[event.class_index];
    request.facts.deadline = clock_.now() + time_left;
    request.facts.max_attempts = settings.max_attempts;
    request.facts.hedging_allowed = settings.hedging_allowed;
    request.correlation_id = std::string((*message)["X-Correlation-Id"]);
    request.message = std::move(message);
    request.client = std::move(client);
    request.snapshot = std::move(snapshot);
    ++pending_requests_;
    if (tracing()) trace("arrived", request, {{"time_left_ms", time_left}});
    push(event);
    return id;
}

void BalancerDriver::client_disconnected(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    at->second.ended = true;
    at->second.facts.client_disconnected = true;
    if (tracing()) trace("client_left", at->second, {});
    --pending_requests_;
    ++totals_.client_disconnects;
    upstream_.withdraw_request(id);
    push(ClientDisconnected{id});
    drop_request(id);
}

// To the module this is as if the client had left: it owes nothing more, and withdraws what is out.
void BalancerDriver::fail_for_pipelined(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    ++totals_.failures[static_cast<std::size_t>(EndReason::pipelined_requests)];
    if (tracing()) trace("failed", at->second, {{"reason", to_string(EndReason::pipelined_requests)}});
    answer(id, at->second, HttpResponse(http::status::bad_gateway, 11), totals_.failed);
    push(ClientDisconnected{id});
    drop_request(id);
}

EndpointFacts BalancerDriver::facts_of(EndpointId id) const {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return {};
    const Server& server = at->second;
    return {server.listed && server.phase == EndpointState::serving, zones_.number(server.zone), server.cell};
}

// Between the decision and the write the client may have left or the server may have been listed as draining.
// That a client has left is in the kernel before anybody here has read it, so its connection is looked at.
// What has begun at a server that drains may be finished there.
bool BalancerDriver::may_write(AttemptKey key, bool begun) {
    auto at = requests_.find(key.id);
    if (at == requests_.end()) return false;
    if (!at->second.ended)
        if (const auto client = at->second.client.lock()) client->check_disconnected();
    at = requests_.find(key.id);  // it may have gone with its client
    if (at == requests_.end()) return false;
    Request& request = at->second;
    EndpointFacts server = facts_of(request.facts.attempts[key.attempt].endpoint);
    server.serving |= begun;
    const auto withheld = rule_guard_.check_send(request.facts, key.attempt, server, clock_.now());
    if (withheld && tracing())
        trace("withheld", request, {{"attempt", key.attempt}, {"reason", to_string(*withheld)}});
    return !withheld;
}

void BalancerDriver::endpoints_received(const EndpointList& list, bool saved) {
    EndpointUpdate event{saved           ? EndpointUpdateKind::cached
                         : list.complete ? EndpointUpdateKind::full
                                         : EndpointUpdateKind::incremental,
                         {}};
    std::vector<EndpointId> moved;
    start_times_.observe(clock_.wall_error());
    if (list.complete)
        for (auto& [id, s] : servers_) s.listed = false;
    for (const ListedEndpoint& host : list.endpoints) {
        const EndpointId id = server(host.name);
        Server& s = servers_[id];
        // Another process, or another address: what is open leads nowhere, and what is still connecting to
        // somebody who is not meant: another server may have that address by now.
        if (s.born != host.started_at || s.dial != host.address) moved.push_back(id);
        if (s.born != host.started_at) s.started = start_times_.start_of(host.started_at, clock_.now());
        s.born = host.started_at;
        s.zone = host.zone, s.cell = host.cell, s.units = host.capacity_weight;
        s.phase = host.state;
        s.listed = host.state != EndpointState::gone;
        if (s.listed) s.dial = host.address;
        event.endpoints.push_back(
            {id, zones_.number(host.zone), host.cell, host.state, s.started, host.capacity_weight});
    }
    has_endpoints_ = true;
    // Nothing that is still connecting goes to a server that drains or is gone: told is told from here on.
    std::vector<EndpointId> closed;
    for (const auto& [id, s] : servers_)
        if (!s.listed || s.phase != EndpointState::serving) closed.push_back(id);
    // The list first: what is withdrawn by it is placed anew by it, and not once more where it may not go.
    push(std::move(event));
    for (const EndpointId id : moved) upstream_.withdraw_endpoint(id);
    for (const EndpointId id : closed) upstream_.withdraw_endpoint(id);
    for (const EndpointId id : closed) drop_server(id);
}

EndpointList BalancerDriver::endpoints() const {
    EndpointList list;
    list.complete = true;
    for (const auto& [id, s] : servers_)
        if (s.listed) list.endpoints.push_back({s.name, s.dial, s.zone, s.cell, s.phase, s.born, s.units});
    return list;
}

std::vector<NamedEndpointSnapshot> BalancerDriver::endpoint_snapshots() const {
    std::vector<NamedEndpointSnapshot> all;
    for (const EndpointSnapshot& l : balancer_.snapshot())
        if (const auto s = servers_.find(l.endpoint); s != servers_.end())
            all.push_back({s->second.name, s->second.born, l.ejected_for, l.latency_ratio});
    return all;
}

void BalancerDriver::restore(const std::vector<NamedEndpointSnapshot>& learnt) {
    StateRestored event;
    for (const NamedEndpointSnapshot& l : learnt) {
        const auto id = server_ids_.find(l.name);
        // Another process under the same name has its own record to make.
        if (id == server_ids_.end() || servers_.at(id->second).born != l.started_at) continue;
        event.endpoints.push_back({id->second, l.ejected_for, l.latency_ratio});
    }
    push(std::move(event));
}

replication::EndpointKey BalancerDriver::endpoint_key_of(const ListedEndpoint& host) {
    const auto known = server_ids_.find(host.name);
    const EndpointId id =
        known != server_ids_.end() ? known->second : endpoint_id(host.name, [](EndpointId) { return false; });
    return endpoint_key(id, host.started_at);
}

void BalancerDriver::evidence_received(const std::vector<replication::EndpointTotals>& evidence) {
    std::unordered_map<replication::EndpointKey, EndpointId> by_key;
    for (const auto& [id, s] : servers_)
        if (s.listed) by_key.emplace(endpoint_key(id, s.born), id);
    FleetEvidence event;
    for (const replication::EndpointTotals& e : evidence)
        if (const auto id = by_key.find(e.endpoint); id != by_key.end())
            event.endpoints.push_back({id->second, e.successes, e.failures, e.reporters, e.direct_reporters,
                                       e.withdrawals, e.recoveries, e.latency_reporters, e.latency_ratio});
    push(std::move(event));
}

void BalancerDriver::endpoints_failed() { push(EndpointUpdate{EndpointUpdateKind::failed, {}}); }

void BalancerDriver::gossip_received(std::uint32_t from, std::vector<std::uint8_t> bytes) {
    push(GossipReceived{from, std::move(bytes)});
}

void BalancerDriver::attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response) {
    const auto at = requests_.find(key.id);
    if (at == requests_.end()) return;
    Request& request = at->second;
    --request.out;
    AttemptFacts& attempt = request.facts.attempts[key.attempt];
    const EndpointId server_id = attempt.endpoint;
    AttemptEnded event{key.id, key.attempt, outcome, clock_.now() - attempt.sent_at, false};
    // A 4xx speaks of the request, not of the server: another would say the same. It is passed on as it is,
    // and as withdrawn it counts neither for the server nor against it. 429 would tell the client that it
    // never ran.
    const unsigned status = response ? response->result_int() : 0;
    const bool unfit = status >= 400 && status < 500 && status != 408 && status != 429;
    if (unfit) event.outcome = Outcome::cancelled;
    if ((outcome == Outcome::success || unfit) && !request.ended && response) {
        strip_hop_by_hop(*response);
        response->erase("X-Backend-Load");
        answer(key.id, request, std::move(*response), unfit ? totals_.forwarded_errors : totals_.served);
    }
    attempt.in_flight = false;
    attempt.may_have_run = !proves_never_ran(event.outcome);
    request.last_outcome = event.outcome;
    if (tracing())
        trace("attempt_ended", request,
              {{"attempt", key.attempt}, {"outcome", to_string(event.outcome)}, {"ms", event.duration}});
    event.request_ended = request.ended;
    push(event);
    if (const auto s = servers_.find(server_id); s != servers_.end()) --s->second.out;
    drop_server(server_id);
}

void BalancerDriver::probe_ended(EndpointId id, Outcome outcome, Millis duration) {
    push(ProbeEnded{id, outcome, duration});
    if (const auto s = servers_.find(id); s != servers_.end()) --s->second.out;
    drop_server(id);
}

// ---- Timers
// -------------------------------------------------------------------------------------------------

void BalancerDriver::arm() {
    if (due_.empty()) return;
    const Millis next = due_.top().at;
    if (armed_for_ == next) return;
    armed_for_ = next;
    timer_.expires_at(clock_.point(next));
    timer_.async_wait([this](error_code ec) {
        if (!ec) fire();
    });
}

void BalancerDriver::fire() {
    armed_for_ = 0;
    const Millis now = clock_.now();
    while (!due_.empty() && due_.top().at <= now) {
        const Due due = due_.top();
        due_.pop();
        if (due.attempt)
            upstream_.expire(*due.attempt);
        else
            push(TimerFired{due.token});
    }
    arm();
}

// ---- The table
// ----------------------------------------------------------------------------------------------

EndpointId BalancerDriver::server(const std::string& name) {
    const auto known = server_ids_.find(name);
    if (known != server_ids_.end()) return known->second;
    const EndpointId id = endpoint_id(name, [this](EndpointId n) { return servers_.count(n) > 0; });
    server_ids_[name] = id;
    servers_[id].name = name;
    return id;
}

void BalancerDriver::drop_server(EndpointId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end() || at->second.listed || at->second.out > 0) return;
    server_ids_.erase(at->second.name);
    servers_.erase(at);
}

void BalancerDriver::drop_request(RequestId id) {
    const auto at = requests_.find(id);
    if (at != requests_.end() && at->second.ended && at->second.out == 0) requests_.erase(at);
}

void BalancerDriver::trace(std::string_view event, const Request& request,
                           std::initializer_list<std::pair<std::string_view, nlohmann::json>> more) const {
    std::vector<std::pair<std::string_view, nlohmann::json>> fields(more);
    fields.emplace_back("id", request.correlation_id);
    trace_event(event, fields);
}

void BalancerDriver::answer(RequestId id, Request& request, HttpResponse response, std::uint64_t& total) {
    if (request.ended) return;
    request.ended = true;
    request.facts.answered = true;
    rule_guard_.check_answer(request.facts.deadline, clock_.now());
    --pending_requests_;
    ++total;
    if (tracing()) trace("answered", request, {{"status", response.result_int()}});
    // What a server says of the request itself is no failure of ours.
    if (on_final_answer && &total != &totals_.forwarded_errors)
        on_final_answer(request.snapshot->version, &total == &totals_.served);
    if (const auto client = request.client.lock()) client->answer(std::move(response));
    upstream_.withdraw_request(id);
}

// ---- Actions
// ------------------------------------------------------------------------------------------------

void BalancerDriver::carry_out(const SendAttempt& a) {
    const auto at = requests_.find(a.id);
    const auto to = servers_.find(a.endpoint);
    if (at == requests_.end()) return;
    Request& request = at->second;
    const AttemptKey key{a.id, static_cast<std::uint32_t>(request.facts.attempts.size())};
    const EndpointFacts server = facts_of(a.endpoint);
    request.facts.attempts.push_back({a.endpoint, server.zone, server.cell, clock_.now()});
    ++request.out;
    ++totals_.attempts;
    if (key.attempt > 0)
        ++totals_.retries[request.out > 1 || !request.last_outcome
                              ? kOutcomeCount
                              : static_cast<std::size_t>(*request.last_outcome)];
    if (tracing())
        trace("send", request,
              {{"attempt", key.attempt},
               {"server", to == servers_.end() ? std::string("?") : to->second.name},
               {"after", request.last_outcome ? to_string(*request.last_outcome) : ""},
               {"until_ms", a.give_up_at - clock_.now()}});
    if (to != servers_.end()) ++to->second.out;
    if (to == servers_.end() || !may_write(key, false)) return attempt_ended(key, Outcome::not_sent, nullptr);
    rule_guard_.check_propagated_deadline(a.give_up_at, request.facts.deadline);
    due_.push({a.give_up_at, 0, due_order_++, key, 0});
    upstream_.send(key, a.endpoint, to->second.dial, request.message, a.give_up_at, a.write_before,
                   request.snapshot->config.connect_timeout);
}

void BalancerDriver::carry_out(const CancelAttempt& a) { upstream_.cancel({a.id, a.attempt}); }

void BalancerDriver::carry_out(const RejectRequest& a) {
    const auto at = requests_.find(a.id);
    if (at == requests_.end()) return;
    if (!rule_guard_.check_rejection(at->second.facts, clock_.now()))
        return carry_out(FailRequest{a.id, a.reason});
    HttpResponse response(http::status::service_unavailable, 11);
    if (a.retry_after > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f",
                      std::min(a.retry_after, at->second.snapshot->config.max_retry_after) / 1000);
        response.set(http::field::retry_after, seconds);
    }
    ++totals_.rejections[static_cast<std::size_t>(a.reason)];
    if (tracing()) trace("refused", at->second, {{"reason", to_string(a.reason)}});
    answer(a.id, at->second, std::move(response), totals_.rejected);
    drop_request(a.id);
}

void BalancerDriver::carry_out(const FailRequest& a) {
    const auto at = requests_.find(a.id);
    if (at == requests_.end()) return;
    ++totals_.failures[static_cast<std::size_t>(a.reason)];
    if (tracing()) trace("failed", at->second, {{"reason", to_string(a.reason)}});
    answer(a.id, at->second, HttpResponse(http::status::bad_gateway, 11), totals_.failed);
    drop_request(a.id);
}

void BalancerDriver::carry_out(const SetTimer& a) {
    due_.push({a.at, 1, due_order_++, std::nullopt, a.token});
}

void BalancerDriver::carry_out(const SendProbe& a) {
    const auto to = servers_.find(a.endpoint);
    if (to == servers_.end() || !to->second.listed)
        return push(ProbeEnded{a.endpoint, Outcome::connect_failure, 0});
    ++to->second.out;
    ++totals_.probes;
    upstream_.probe(a.endpoint, to->second.dial);
}

void BalancerDriver::carry_out(const CloseIdleConnections& a) { upstream_.close_idle(a.endpoint); }

void BalancerDriver::carry_out(const SendGossip& a) {
    if (!peers_) return;
    ++totals_.gossip_sent;
    peers_->send(a.to, a.bytes);
}

void BalancerDriver::carry_out(const PublishEvidence& a) {
    const auto s = servers_.find(a.endpoint);
    if (s == servers_.end() || !on_evidence) return;
    const auto byte = [](double value) { return static_cast<std::uint8_t>(std::clamp(value, 0.0, 255.0)); };
    replication::Evidence e;
    e.successes = byte(std::round(a.successes)), e.failures = byte(std::round(a.failures));
    e.latency_ratio = byte(std::round(a.latency_ratio * 64));
    e.flags = static_cast<std::uint8_t>((a.ejected ? replication::kRemoved : 0) |
                                        (a.recovered ? replication::kRestored : 0));
    on_evidence(endpoint_key(a.endpoint, s->second.born), e);
}

void BalancerDriver::carry_out(const SubscribeEndpoints& a) {
    if (snapshot_->settings->polled_discovery && discovery_) discovery_->watch(a.active);
}

void BalancerDriver::carry_out(const FetchEndpoints&) {
    if (discovery_) discovery_->fetch();
}

void BalancerDriver::carry_out(const LogMessage& a) {
    const auto at = a.endpoint ? servers_.find(*a.endpoint) : servers_.end();
    log_line((at == servers_.end() ? std::string() : at->second.name + " ") + a.text);
}

}  // namespace ochregrade::sidecar
