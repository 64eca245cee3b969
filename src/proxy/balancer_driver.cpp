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

std::string_view name_of(EndReason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(EndReason::count)> kNames = {
        "deadline", "no_capacity", "attempts_used", "retry_budget", "requests_behind"};
    return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view name_of(Outcome outcome) {
    constexpr std::array<std::string_view, kOutcomes> kNames = {
        "ok", "error", "overloaded", "timeout", "no_connect", "reset_in_flight", "cancelled", "not_sent"};
    return kNames.at(static_cast<std::size_t>(outcome));
}

ZoneId Zones::number(const std::string& name) {
    const auto next = static_cast<ZoneId>(numbers_.size());
    if (numbers_.size() >= kMost && numbers_.count(name) == 0) return next;
    return numbers_.try_emplace(name, next).first->second;
}

Sidecar::Sidecar(asio::io_context& io, const Clock& clock, Zones& zones, SnapshotPtr snapshot,
                 Upstream::Limits limits)
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
           [this](ServerId id, Outcome outcome, Millis duration) { probe_ended(id, outcome, duration); },
           [this](AttemptKey key, bool begun) { return may_write(key, begun); }}),
      timer_(io) {}

Sidecar::~Sidecar() = default;

void Sidecar::connect_to(Discovery& discovery, Peers* peers) { discovery_ = &discovery, peers_ = peers; }

void Sidecar::start() {
    push(Started{});
    if (snapshot_->config.known) told(*snapshot_->config.known, true);
}

void Sidecar::use(SnapshotPtr snapshot, Upstream::Limits limits) {
    pump();
    snapshot_ = std::move(snapshot);
    upstream_.set_limits(limits);
    push(SettingsChanged{snapshot_->settings});
    pump();
}

Sidecar::Held Sidecar::held() const {
    const Balancer::Held module = balancer_.held();
    return {requests_.size() + module.requests,
            upstream_.out(),
            servers_.size(),
            module.servers,
            upstream_.pools(),
            upstream_.open(),
            module.removed};
}

// ---- Events
// -------------------------------------------------------------------------------------------------

void Sidecar::push(Event event) {
    events_.push_back(std::move(event));
    if (pump_posted_) return;
    pump_posted_ = true;
    asio::post(io_, [this] { pump(); });
}

void Sidecar::pump() {
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

RequestId Sidecar::arrived(RequestPtr message, Millis time_left, std::weak_ptr<Client> client,
                           SnapshotPtr snapshot) {
    const RequestId id = next_request_++;
    ++totals_.arrived;
    RequestArrived event;
    event.id = id;
    event.time_left = time_left;
    event.repeat = (*message)["X-Repeat"] == "1";
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
    request.facts.parallel_tries = settings.parallel_tries;
    request.correlation_id = std::string((*message)["X-Correlation-Id"]);
    request.message = std::move(message);
    request.client = std::move(client);
    request.snapshot = std::move(snapshot);
    ++unanswered_;
    if (tracing()) trace("arrived", request, {{"time_left_ms", time_left}});
    push(event);
    return id;
}

void Sidecar::client_gone(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    at->second.ended = true;
    at->second.facts.client_left = true;
    if (tracing()) trace("client_left", at->second, {});
    --unanswered_;
    ++totals_.left;
    upstream_.withdraw_request(id);
    push(ClientGone{id});
    drop_request(id);
}

// To the module this is as if the client had left: it owes nothing more, and withdraws what is out.
void Sidecar::fail_for_those_behind(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.ended) return;
    ++totals_.failures[static_cast<std::size_t>(EndReason::requests_behind)];
    if (tracing()) trace("failed", at->second, {{"reason", name_of(EndReason::requests_behind)}});
    answer(id, at->second, HttpResponse(http::status::bad_gateway, 11), totals_.failed);
    push(ClientGone{id});
    drop_request(id);
}

ServerFacts Sidecar::facts_of(ServerId id) const {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return {};
    const Server& server = at->second;
    return {server.listed && server.phase == Phase::on, zones_.number(server.zone), server.cell};
}

// Between the decision and the write the client may have left or the server may have been listed as draining.
// That a client has left is in the kernel before anybody here has read it, so its connection is looked at.
// What has begun at a server that drains may be finished there.
bool Sidecar::may_write(AttemptKey key, bool begun) {
    auto at = requests_.find(key.id);
    if (at == requests_.end()) return false;
    if (!at->second.ended)
        if (const auto client = at->second.client.lock()) client->notice_leaving();
    at = requests_.find(key.id);  // it may have gone with its client
    if (at == requests_.end()) return false;
    Request& request = at->second;
    ServerFacts server = facts_of(request.facts.attempts[key.attempt].server);
    server.serving |= begun;
    const auto withheld = rule_guard_.check_send(request.facts, key.attempt, server, clock_.now());
    if (withheld && tracing())
        trace("withheld", request, {{"attempt", key.attempt}, {"reason", name_of(*withheld)}});
    return !withheld;
}

void Sidecar::told(const HostList& list, bool saved) {
    ServerList event{saved ? ListKind::saved : list.whole ? ListKind::full : ListKind::incremental, {}};
    std::vector<ServerId> moved;
    start_times_.observe(clock_.wall_error());
    if (list.whole)
        for (auto& [id, s] : servers_) s.listed = false;
    for (const Host& host : list.hosts) {
        const ServerId id = server(host.name);
        Server& s = servers_[id];
        // Another process, or another address: what is open leads nowhere, and what is still connecting to
        // somebody who is not meant: another server may have that address by now.
        if (s.born != host.born || s.dial != host.dial) moved.push_back(id);
        if (s.born != host.born) s.started = start_times_.start_of(host.born, clock_.now());
        s.born = host.born;
        s.zone = host.zone, s.cell = host.cell, s.units = host.units;
        s.phase = host.phase;
        s.listed = host.phase != Phase::off;
        if (s.listed) s.dial = host.dial;
        event.servers.push_back({id, zones_.number(host.zone), host.cell, host.phase, s.started, host.units});
    }
    holds_list_ = true;
    // Nothing that is still connecting goes to a server that drains or is gone: told is told from here on.
    std::vector<ServerId> closed;
    for (const auto& [id, s] : servers_)
        if (!s.listed || s.phase != Phase::on) closed.push_back(id);
    // The list first: what is withdrawn by it is placed anew by it, and not once more where it may not go.
    push(std::move(event));
    for (const ServerId id : moved) upstream_.withdraw_server(id);
    for (const ServerId id : closed) upstream_.withdraw_server(id);
    for (const ServerId id : closed) drop_server(id);
}

HostList Sidecar::list() const {
    HostList list;
    list.whole = true;
    for (const auto& [id, s] : servers_)
        if (s.listed) list.hosts.push_back({s.name, s.dial, s.zone, s.cell, s.phase, s.born, s.units});
    return list;
}

std::vector<LearntServer> Sidecar::learnt() const {
    std::vector<LearntServer> all;
    for (const Learnt& l : balancer_.learnt())
        if (const auto s = servers_.find(l.server); s != servers_.end())
            all.push_back({s->second.name, s->second.born, l.removed_for, l.pace});
    return all;
}

void Sidecar::recall(const std::vector<LearntServer>& learnt) {
    Recalled event;
    for (const LearntServer& l : learnt) {
        const auto id = server_ids_.find(l.name);
        // Another process under the same name has its own record to make.
        if (id == server_ids_.end() || servers_.at(id->second).born != l.born) continue;
        event.learnt.push_back({id->second, l.removed_for, l.pace});
    }
    push(std::move(event));
}

replication::ServerKey Sidecar::key_of(const Host& host) {
    const auto known = server_ids_.find(host.name);
    const ServerId id =
        known != server_ids_.end() ? known->second : server_number(host.name, [](ServerId) { return false; });
    return server_key(id, host.born);
}

void Sidecar::fleet_said(const std::vector<replication::ServerEvidence>& evidence) {
    std::unordered_map<replication::ServerKey, ServerId> by_key;
    for (const auto& [id, s] : servers_)
        if (s.listed) by_key.emplace(server_key(id, s.born), id);
    FleetView event;
    for (const replication::ServerEvidence& e : evidence)
        if (const auto id = by_key.find(e.server); id != by_key.end())
            event.servers.push_back({id->second, e.good, e.bad, e.complaints, e.witnesses, e.closed,
                                     e.restored, e.paced, e.pace});
    push(std::move(event));
}

void Sidecar::list_failed() { push(ServerList{ListKind::failed, {}}); }

void Sidecar::peer_said(std::uint32_t from, std::vector<std::uint8_t> bytes) {
    push(PeerMessage{from, std::move(bytes)});
}

void Sidecar::attempt_ended(AttemptKey key, Outcome outcome, HttpResponse* response) {
    const auto at = requests_.find(key.id);
    if (at == requests_.end()) return;
    Request& request = at->second;
    --request.out;
    AttemptFacts& attempt = request.facts.attempts[key.attempt];
    const ServerId server_id = attempt.server;
    AttemptEnded event{key.id, key.attempt, outcome, clock_.now() - attempt.sent_at, false};
    // A 4xx speaks of the request, not of the server: another would say the same. It is passed on as it is,
    // and as withdrawn it counts neither for the server nor against it. 429 would tell the client that it
    // never ran.
    const unsigned status = response ? response->result_int() : 0;
    const bool unfit = status >= 400 && status < 500 && status != 408 && status != 429;
    if (unfit) event.outcome = Outcome::recalled;
    if ((outcome == Outcome::completed || unfit) && !request.ended && response) {
        strip_hop_by_hop(*response);
        response->erase("X-Backend-Load");
        answer(key.id, request, std::move(*response), unfit ? totals_.passed_on : totals_.served);
    }
    attempt.in_flight = false;
    attempt.may_have_run = !proves_never_ran(event.outcome);
    request.last_outcome = event.outcome;
    if (tracing())
        trace("attempt_ended", request,
              {{"attempt", key.attempt}, {"outcome", name_of(event.outcome)}, {"ms", event.duration}});
    event.request_ended = request.ended;
    push(event);
    if (const auto s = servers_.find(server_id); s != servers_.end()) --s->second.out;
    drop_server(server_id);
}

void Sidecar::probe_ended(ServerId id, Outcome outcome, Millis duration) {
    push(ProbeEnded{id, outcome, duration});
    if (const auto s = servers_.find(id); s != servers_.end()) --s->second.out;
    drop_server(id);
}

// ---- Timers
// -------------------------------------------------------------------------------------------------

void Sidecar::arm() {
    if (due_.empty()) return;
    const Millis next = due_.top().at;
    if (armed_for_ == next) return;
    armed_for_ = next;
    timer_.expires_at(clock_.point(next));
    timer_.async_wait([this](error_code ec) {
        if (!ec) fire();
    });
}

void Sidecar::fire() {
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

ServerId Sidecar::server(const std::string& name) {
    const auto known = server_ids_.find(name);
    if (known != server_ids_.end()) return known->second;
    const ServerId id = server_number(name, [this](ServerId n) { return servers_.count(n) > 0; });
    server_ids_[name] = id;
    servers_[id].name = name;
    return id;
}

void Sidecar::drop_server(ServerId id) {
    const auto at = servers_.find(id);
    if (at == servers_.end() || at->second.listed || at->second.out > 0) return;
    server_ids_.erase(at->second.name);
    servers_.erase(at);
}

void Sidecar::drop_request(RequestId id) {
    const auto at = requests_.find(id);
    if (at != requests_.end() && at->second.ended && at->second.out == 0) requests_.erase(at);
}

void Sidecar::trace(std::string_view event, const Request& request,
                    std::initializer_list<std::pair<std::string_view, nlohmann::json>> more) const {
    std::vector<std::pair<std::string_view, nlohmann::json>> fields(more);
    fields.emplace_back("id", request.correlation_id);
    trace_event(event, fields);
}

void Sidecar::answer(RequestId id, Request& request, HttpResponse response, std::uint64_t& total) {
    if (request.ended) return;
    request.ended = true;
    request.facts.answered = true;
    rule_guard_.check_answer(request.facts.deadline, clock_.now());
    --unanswered_;
    ++total;
    if (tracing()) trace("answered", request, {{"status", response.result_int()}});
    // What a server says of the request itself is no failure of ours.
    if (on_answer && &total != &totals_.passed_on)
        on_answer(request.snapshot->generation, &total == &totals_.served);
    if (const auto client = request.client.lock()) client->answer(std::move(response));
    upstream_.withdraw_request(id);
}

// ---- Actions
// ------------------------------------------------------------------------------------------------

void Sidecar::carry_out(const Send& a) {
    const auto at = requests_.find(a.id);
    const auto to = servers_.find(a.server);
    if (at == requests_.end()) return;
    Request& request = at->second;
    const AttemptKey key{a.id, static_cast<std::uint32_t>(request.facts.attempts.size())};
    const ServerFacts server = facts_of(a.server);
    request.facts.attempts.push_back({a.server, server.zone, server.cell, clock_.now()});
    ++request.out;
    ++totals_.attempts;
    if (key.attempt > 0)
        ++totals_.retries[request.out > 1 || !request.last_outcome
                              ? kOutcomes
                              : static_cast<std::size_t>(*request.last_outcome)];
    if (tracing())
        trace("send", request,
              {{"attempt", key.attempt},
               {"server", to == servers_.end() ? std::string("?") : to->second.name},
               {"after", request.last_outcome ? name_of(*request.last_outcome) : ""},
               {"until_ms", a.try_until - clock_.now()}});
    if (to != servers_.end()) ++to->second.out;
    if (to == servers_.end() || !may_write(key, false))
        return attempt_ended(key, Outcome::superseded, nullptr);
    rule_guard_.check_time_told(a.try_until, request.facts.deadline);
    due_.push({a.try_until, 0, due_order_++, key, 0});
    upstream_.send(key, a.server, to->second.dial, request.message, a.try_until, a.write_until,
                   request.snapshot->config.connect_timeout);
}

void Sidecar::carry_out(const Cancel& a) { upstream_.cancel({a.id, a.attempt}); }

void Sidecar::carry_out(const Refuse& a) {
    const auto at = requests_.find(a.id);
    if (at == requests_.end()) return;
    if (!rule_guard_.check_refusal(at->second.facts, clock_.now())) return carry_out(GiveUp{a.id, a.reason});
    HttpResponse response(http::status::service_unavailable, 11);
    if (a.retry_in > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f",
                      std::min(a.retry_in, at->second.snapshot->config.max_retry_after) / 1000);
        response.set(http::field::retry_after, seconds);
    }
    ++totals_.refusals[static_cast<std::size_t>(a.reason)];
    if (tracing()) trace("refused", at->second, {{"reason", name_of(a.reason)}});
    answer(a.id, at->second, std::move(response), totals_.refused);
    drop_request(a.id);
}

void Sidecar::carry_out(const GiveUp& a) {
    const auto at = requests_.find(a.id);
    if (at == requests_.end()) return;
    ++totals_.failures[static_cast<std::size_t>(a.reason)];
    if (tracing()) trace("failed", at->second, {{"reason", name_of(a.reason)}});
    answer(a.id, at->second, HttpResponse(http::status::bad_gateway, 11), totals_.failed);
    drop_request(a.id);
}

void Sidecar::carry_out(const SetTimer& a) { due_.push({a.at, 1, due_order_++, std::nullopt, a.token}); }

void Sidecar::carry_out(const Probe& a) {
    const auto to = servers_.find(a.server);
    if (to == servers_.end() || !to->second.listed)
        return push(ProbeEnded{a.server, Outcome::refused_connection, 0});
    ++to->second.out;
    ++totals_.probes;
    upstream_.probe(a.server, to->second.dial);
}

void Sidecar::carry_out(const CloseIdle& a) { upstream_.close_idle(a.server); }

void Sidecar::carry_out(const TellPeer& a) {
    if (!peers_) return;
    ++totals_.told;
    peers_->tell(a.to, a.bytes);
}

void Sidecar::carry_out(const Share& a) {
    const auto s = servers_.find(a.server);
    if (s == servers_.end() || !on_share) return;
    const auto byte = [](double value) { return static_cast<std::uint8_t>(std::clamp(value, 0.0, 255.0)); };
    replication::Evidence e;
    e.good = byte(std::round(a.good)), e.bad = byte(std::round(a.bad));
    e.pace = byte(std::round(a.pace * 64));
    e.flags = static_cast<std::uint8_t>((a.removed ? replication::kRemoved : 0) |
                                        (a.restored ? replication::kRestored : 0));
    on_share(server_key(a.server, s->second.born), e);
}

void Sidecar::carry_out(const Subscribe& a) {
    if (snapshot_->settings->list_on_request && discovery_) discovery_->watch(a.active);
}

void Sidecar::carry_out(const FetchList&) {
    if (discovery_) discovery_->fetch();
}

void Sidecar::carry_out(const Log& a) {
    const auto at = a.server ? servers_.find(*a.server) : servers_.end();
    log_line((at == servers_.end() ? std::string() : at->second.name + " ") + a.text);
}

}  // namespace ochregrade::sidecar
