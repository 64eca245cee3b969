// Executes the balancer's actions.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "common/log.hpp"
#include "discovery/discovery_client.hpp"
#include "fleet/gossip_transport.hpp"
#include "fleet/replication_driver.hpp"
#include "proxy/balancer_driver.hpp"

namespace ochregrade::sidecar {

namespace {

// The value of a Retry-After header: seconds with three decimals.
std::string retry_after_seconds(Millis retry_after) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", retry_after / 1000);
    return seconds.data();
}

// A number as one byte of an evidence record, clamped to 0...255.
std::uint8_t to_byte(double value) { return static_cast<std::uint8_t>(std::clamp(value, 0.0, 255.0)); }

// An evidence record stores the latency ratio in units of 1/64.
constexpr double kLatencyRatioUnits = 64;

}  // namespace

// ---- Attempts

void BalancerDriver::execute(const SendAttempt& action) {
    PendingRequest* request = find_request(action.id);
    UpstreamEndpoint* endpoint = endpoints_.find(action.endpoint);
    if (!request) return;
    const AttemptKey key{action.id, static_cast<std::uint32_t>(request->facts.attempts.size())};
    const EndpointFacts facts = endpoints_.facts(action.endpoint);
    request->facts.attempts.push_back({action.endpoint, facts.zone, facts.cell, clock_.now()});
    ++request->in_flight;
    count_attempt(key, *request);
    if (tracing())
        trace("send", *request,
              {{"attempt", key.attempt},
               {"server", endpoint ? endpoint->name : std::string("?")},
               {"after", request->last_outcome ? to_string(*request->last_outcome) : ""},
               {"until_ms", action.give_up_at - clock_.now()}});
    if (endpoint) ++endpoint->in_flight;
    if (!endpoint || !may_write(key, false)) return attempt_ended(key, Outcome::not_sent, nullptr);
    rule_guard_.check_propagated_deadline(action.give_up_at, request->facts.deadline);
    timers_.add_timeout(action.give_up_at, key);
    upstream_.send(key, action.endpoint, endpoint->address, request->message, action.give_up_at,
                   action.write_deadline, request->snapshot->config.connect_timeout);
}

void BalancerDriver::count_attempt(AttemptKey key, const PendingRequest& request) {
    ++totals_.attempts;
    if (key.attempt == 0) return;
    const bool is_hedge = request.in_flight > 1 || !request.last_outcome;
    const std::size_t after = is_hedge ? kOutcomeCount : static_cast<std::size_t>(*request.last_outcome);
    ++totals_.retries[after];
}

void BalancerDriver::execute(const CancelAttempt& action) { upstream_.cancel({action.id, action.attempt}); }

// ---- Final responses

void BalancerDriver::execute(const RejectRequest& action) {
    PendingRequest* request = find_request(action.id);
    if (!request) return;
    if (!rule_guard_.check_rejection(request->facts, clock_.now()))
        return execute(FailRequest{action.id, action.reason});
    HttpResponse response(http::status::service_unavailable, 11);
    if (action.retry_after > 0) {
        const Millis longest = request->snapshot->config.max_retry_after;
        response.set(http::field::retry_after, retry_after_seconds(std::min(action.retry_after, longest)));
    }
    ++totals_.rejections[static_cast<std::size_t>(action.reason)];
    if (tracing()) trace("refused", *request, {{"reason", to_string(action.reason)}});
    send_final_response(action.id, *request, std::move(response), totals_.rejected);
    remove_request_if_done(action.id);
}

void BalancerDriver::execute(const FailRequest& action) {
    PendingRequest* request = find_request(action.id);
    if (!request) return;
    ++totals_.failures[static_cast<std::size_t>(action.reason)];
    if (tracing()) trace("failed", *request, {{"reason", to_string(action.reason)}});
    send_final_response(action.id, *request, HttpResponse(http::status::bad_gateway, 11), totals_.failed);
    remove_request_if_done(action.id);
}

// ---- Probes, connections and timers

void BalancerDriver::execute(const SendProbe& action) {
    UpstreamEndpoint* endpoint = endpoints_.find(action.endpoint);
    if (!endpoint || !endpoint->listed)
        return enqueue(ProbeEnded{action.endpoint, Outcome::connect_failure, 0});
    ++endpoint->in_flight;
    ++totals_.probes;
    upstream_.probe(action.endpoint, endpoint->address);
}

void BalancerDriver::execute(const CloseIdleConnections& action) { upstream_.close_idle(action.endpoint); }

void BalancerDriver::execute(const SetTimer& action) { timers_.add_timer(action.at, action.token); }

// ---- Discovery, other sidecars and the log

void BalancerDriver::execute(const SubscribeEndpoints& action) {
    if (snapshot_->settings->polled_discovery && discovery_) discovery_->watch(action.active);
}

void BalancerDriver::execute(const FetchEndpoints&) {
    if (discovery_) discovery_->fetch();
}

void BalancerDriver::execute(const SendGossip& action) {
    if (!gossip_) return;
    ++totals_.gossip_sent;
    gossip_->send(action.to, action.bytes);
}

void BalancerDriver::execute(const PublishEvidence& action) {
    const UpstreamEndpoint* endpoint = endpoints_.find(action.endpoint);
    if (!endpoint || !on_evidence) return;
    replication::Evidence evidence;
    evidence.successes = to_byte(std::round(action.successes));
    evidence.failures = to_byte(std::round(action.failures));
    evidence.latency_ratio = to_byte(std::round(action.latency_ratio * kLatencyRatioUnits));
    evidence.flags = static_cast<std::uint8_t>((action.ejected ? replication::kEjected : 0) |
                                               (action.recovered ? replication::kRecovered : 0));
    on_evidence(endpoint_key(action.endpoint, endpoint->started_at), evidence);
}

void BalancerDriver::execute(const LogMessage& action) {
    const UpstreamEndpoint* endpoint = action.endpoint ? endpoints_.find(*action.endpoint) : nullptr;
    log_line((endpoint ? endpoint->name + " " : std::string()) + action.text);
}

}  // namespace ochregrade::sidecar
