#include "simulator/balancer_host.hpp"

#include <algorithm>
#include <istream>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "simulator/action_writer.hpp"
#include "simulator/instance_config.hpp"
#include "simulator/vocabulary.hpp"

namespace ochregrade::wire {

namespace {

constexpr int kExitMalformedInput = 2;  // exit status

template <class Id>
std::optional<Id> find_id(const std::unordered_map<std::string, Id>& ids, std::string_view name) {
    const auto found = ids.find(std::string(name));
    return found == ids.end() ? std::nullopt : std::optional(found->second);
}

std::string line_prefix(std::size_t line_number) { return "line " + std::to_string(line_number) + ": "; }

}  // namespace

BalancerHost::BalancerHost(std::istream& in, std::ostream& out, std::ostream& err)
    : in_(in), out_(out), err_(err) {}

bool BalancerHost::next_line(std::string& line) {
    if (!std::getline(in_, line)) return false;
    ++line_number_;
    return true;
}

int BalancerHost::run() {
    try {
        for (std::string line; next_line(line);) {
            const Message mark(line, line_number_);
            if (mark.kind() != "MARK") mark.fail(mark.kind(), "stands where MARK is due");
            handle_batch(mark);
        }
    } catch (const WireError& error) {
        err_ << "ochregrade_adapter: " << error.what() << '\n';
        return kExitMalformedInput;
    }
    return 0;
}

void BalancerHost::handle_batch(const Message& mark) {
    now_ = mark.number("now-ms");
    const std::uint64_t frame = mark.integer("frame");
    reply_.clear();
    for (std::string line;;) {
        if (!next_line(line))
            throw WireError(line_prefix(line_number_) + "MARK: input ends before 'OVER_TO_YOU'");
        const Message message(line, line_number_);
        if (message.kind() == "OVER_TO_YOU") break;
        handle_message(message);
    }
    out_ << reply_ << "END frame=" << frame << '\n' << std::flush;
}

BalancerHost::EventHandler BalancerHost::handler_for(std::string_view kind) {
    static const std::map<std::string_view, EventHandler> handlers{
        {"POWER_OFF", &BalancerHost::stop_instance}, {"PEERS_KNOWN", &BalancerHost::update_endpoints},
        {"ACCEPT", &BalancerHost::request_arrived},  {"HEAD_RECEIVED", &BalancerHost::response_started},
        {"VERDICT", &BalancerHost::attempt_ended},   {"EXPIRED", &BalancerHost::client_disconnected},
        {"TICK_DUE", &BalancerHost::timer_fired},    {"HEALTH", &BalancerHost::probe_ended},
        {"MEMO", &BalancerHost::gossip_received}};
    const auto handler = handlers.find(kind);
    return handler == handlers.end() ? nullptr : handler->second;
}

void BalancerHost::handle_message(const Message& message) {
    if (message.kind() == "CATALOG") return store_catalog(message);
    if (message.kind() == "START") return start_instance(message);
    const EventHandler handler = handler_for(message.kind());
    if (handler == nullptr) return report_unknown_kind(message.kind());
    const auto instance = instances_.find(message.text("who"));
    if (instance == instances_.end()) message.fail("who", "names an instance that is not running");
    (this->*handler)(instance->second, message);
}

// Newer simulators may send kinds of events that this version does not support. Such an event is not an
// error.
void BalancerHost::report_unknown_kind(std::string_view kind) {
    if (std::find(unknown_kinds_.begin(), unknown_kinds_.end(), kind) != unknown_kinds_.end()) return;
    unknown_kinds_.emplace_back(kind);
    err_ << "ochregrade_adapter: " << line_prefix(line_number_) << "unknown event " << kind << " skipped\n";
}

void BalancerHost::store_catalog(const Message& message) {
    const std::uint64_t ref = message.integer("ref");
    if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
    const std::uint64_t count = message.integer("items");
    std::vector<CatalogEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) entries.push_back(read_catalog_entry());
    catalogs_[ref] = std::move(entries);
}

CatalogEntry BalancerHost::read_catalog_entry() {
    std::string line;
    if (!next_line(line)) throw WireError(line_prefix(line_number_) + "CATALOG: input ends within 'items'");
    const Message message(line, line_number_);
    if (message.kind() != "M") message.fail("items", "does not match the entries that follow");
    CatalogEntry entry;
    entry.endpoint = message.text("server");
    if (message.has("rack-zone")) entry.zone = message.text("rack-zone");
    entry.cell = static_cast<std::uint32_t>(message.integer_or("pod", 0));
    entry.state = read_endpoint_state(message, "phase");
    entry.started_at = message.number_or("online-since-ms", 0);
    entry.capacity_weight = message.number_or("units", 1);
    return entry;
}

const std::vector<CatalogEntry>& BalancerHost::catalog(const Message& message) const {
    const std::uint64_t ref = message.integer("ref");
    if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
    return catalogs_[ref];
}

void BalancerHost::start_instance(const Message& message) {
    const std::string name(message.text("who"));
    const std::uint64_t seed = message.integer("entropy");
    instances_.erase(name);
    try {
        const auto instance = instances_.try_emplace(name, name, read_instance_config(message), seed).first;
        dispatch(instance->second, Started{});
    } catch (const std::invalid_argument& error) {
        write_fault(reply_, name, error.what());
    }
}

void BalancerHost::stop_instance(Instance& /*instance*/, const Message& message) {
    instances_.erase(instances_.find(message.text("who")));
}

void BalancerHost::update_endpoints(Instance& instance, const Message& message) {
    EndpointUpdate update{read_update_kind(message, "mode"), {}};
    if (update.kind == EndpointUpdateKind::failed) {
        dispatch(instance, update);
        return;
    }
    const std::vector<CatalogEntry>& entries = catalog(message);
    if (update.kind != EndpointUpdateKind::incremental)
        for (auto& [id, endpoint] : instance.endpoints) endpoint.listed = false;
    for (const CatalogEntry& entry : entries) {
        const EndpointId id = instance.find_or_add_endpoint(entry.endpoint);
        instance.endpoints[id].listed = entry.state != EndpointState::removed;
        update.endpoints.push_back({id, instance.config.find_or_add_zone(entry.zone), entry.cell, entry.state,
                                    entry.started_at, entry.capacity_weight});
    }
    dispatch(instance, update);
    instance.erase_unused_endpoints();
}

void BalancerHost::request_arrived(Instance& instance, const Message& message) {
    RequestArrived arrived;
    arrived.time_left = message.number("time-left-ms");
    arrived.effort = message.number_or("effort-ms", 0);
    arrived.client_retry = message.flag_or("repeat", false);
    const auto& classes = instance.config.classes;
    const auto request_class = std::find(classes.begin(), classes.end(), message.text("grade"));
    arrived.class_index = static_cast<std::uint32_t>(request_class - classes.begin());
    const std::string name(message.text("rid"));
    const auto [request_id, is_new] = instance.request_ids.try_emplace(name, instance.next_request);
    if (!is_new) message.fail("rid", "was given before");
    arrived.id = request_id->second;
    instance.requests[instance.next_request++].name = name;
    dispatch(instance, arrived);
}

// response_started(), client_disconnected() and attempt_ended() skip an event whose request the instance does
// not know, usually because the request has ended already.
void BalancerHost::response_started(Instance& instance, const Message& message) {
    const std::optional<RequestId> request = find_id(instance.request_ids, message.text("rid"));
    const auto attempt = static_cast<std::uint32_t>(message.integer("hop"));
    if (request) dispatch(instance, ResponseStarted{*request, attempt});
}

void BalancerHost::client_disconnected(Instance& instance, const Message& message) {
    const std::optional<RequestId> request = find_id(instance.request_ids, message.text("rid"));
    if (!request) return;
    dispatch(instance, ClientDisconnected{*request});
    instance.end_request(*request);
}

void BalancerHost::attempt_ended(Instance& instance, const Message& message) {
    AttemptEnded ended;
    ended.attempt = static_cast<std::uint32_t>(message.integer("hop"));
    ended.outcome = read_outcome(message, "rc");
    ended.duration = message.number_or("duration-ms", 0);
    ended.request_ended = message.flag_or("terminal", false);
    const std::optional<EndpointId> endpoint_id = find_id(instance.endpoint_ids, message.text("server"));
    const std::optional<RequestId> request_id = find_id(instance.request_ids, message.text("rid"));
    if (!request_id) return;
    ended.id = *request_id;
    Instance::Request& request = instance.requests.at(ended.id);
    if (request.attempts_in_flight > 0) --request.attempts_in_flight;
    if (ended.request_ended) request.ended = true;
    dispatch(instance, ended);
    instance.erase_request_if_ended(ended.id);
    if (!endpoint_id) return;
    Instance::KnownEndpoint& endpoint = instance.endpoints.at(*endpoint_id);
    if (endpoint.attempts_in_flight > 0) --endpoint.attempts_in_flight;
    instance.erase_endpoint_if_unused(*endpoint_id);
}

void BalancerHost::timer_fired(Instance& instance, const Message& message) {
    dispatch(instance, TimerFired{message.integer("nonce")});
}

void BalancerHost::probe_ended(Instance& instance, const Message& message) {
    const std::optional<EndpointId> endpoint = find_id(instance.endpoint_ids, message.text("server"));
    const Outcome outcome = read_outcome(message, "rc");
    const Millis duration = message.number_or("duration-ms", 0);
    if (endpoint) dispatch(instance, ProbeEnded{*endpoint, outcome, duration});
}

void BalancerHost::gossip_received(Instance& instance, const Message& message) {
    const auto sender = static_cast<std::uint32_t>(message.integer("src-peer"));
    dispatch(instance, GossipReceived{sender, message.bytes("msg")});
}

void BalancerHost::dispatch(Instance& instance, const Event& event) {
    actions_.clear();
    try {
        instance.balancer.handle(now_, event, actions_);
    } catch (const std::exception& error) {
        write_fault(reply_, instance.name, error.what());
        return;
    }
    for (const Action& action : actions_) write_action(reply_, instance, action);
}

}  // namespace ochregrade::wire
