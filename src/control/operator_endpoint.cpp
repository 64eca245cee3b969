#include "control/operator_endpoint.hpp"

#include <charconv>
#include <cmath>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "common/log.hpp"
#include "common/socket_io.hpp"
#include "control/config_schema.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

constexpr std::size_t kMostSessions = 8;
constexpr std::uint64_t kLongestBody = 1 << 20;
constexpr std::chrono::seconds kCallTime{5}, kIdleTime{60};
constexpr std::chrono::milliseconds kAcceptRetry{100};

struct BadCall : std::runtime_error {
    BadCall(http::status s, const std::string& what) : std::runtime_error(what), status(s) {}
    http::status status;
};

HttpResponse answer(http::status status, const json& body) {
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

// What stands behind the question mark. Whatever the call does not know is an error: a mistyped dry_run must
// not become a change.
class Query {
public:
    Query(std::string_view text, std::initializer_list<std::string_view> known) {
        while (!text.empty()) {
            const auto part = text.substr(0, text.find('&'));
            text.remove_prefix(std::min(text.size(), part.size() + 1));
            const auto equals = part.find('=');
            const std::string name(part.substr(0, equals));
            if (std::find(known.begin(), known.end(), name) == known.end() ||
                equals == std::string_view::npos)
                throw BadCall(http::status::bad_request,
                              "parameter " + name + " is not known or has no value");
            if (!values_.emplace(name, part.substr(equals + 1)).second)
                throw BadCall(http::status::bad_request, "parameter " + name + " comes twice");
        }
    }
    bool has(const std::string& name) const { return values_.count(name) > 0; }
    bool flag(const std::string& name) const {
        if (!has(name)) return false;
        const std::string& v = values_.at(name);
        if (v == "1" || v == "true") return true;
        if (v == "0" || v == "false") return false;
        throw BadCall(http::status::bad_request, "parameter " + name + " is neither true nor false");
    }
    std::optional<std::uint64_t> whole(const std::string& name) const {
        return number<std::uint64_t>(name, "is not a whole number");
    }
    std::optional<double> amount(const std::string& name) const {
        const auto n = number<double>(name, "is not an amount");
        if (n && (!std::isfinite(*n) || *n < 0 || *n > 1e9))
            throw BadCall(http::status::bad_request, "parameter " + name + " is not an amount");
        return n;
    }

private:
    template <class T>
    std::optional<T> number(const std::string& name, const char* fault) const {
        if (!has(name)) return {};
        const std::string& v = values_.at(name);
        T n{};
        const auto parsed = std::from_chars(v.data(), v.data() + v.size(), n);
        if (v.empty() || parsed.ec != std::errc() || parsed.ptr != v.data() + v.size())
            throw BadCall(http::status::bad_request, "parameter " + name + " " + fault);
        return n;
    }
    std::map<std::string, std::string> values_;
};

json share(const ConfigVersions::Share& s) { return {{"served", s.served}, {"answers", s.all}}; }

json trial_now(const Node& node) {
    const auto& t = node.generations().canary();
    if (!t) return nullptr;
    return {{"bake_ms", t->rule.duration},
            {"margin", t->rule.max_drop},
            {"min_samples", t->rule.min_samples},
            {"falls_back_to", t->fallback},
            {"running_ms", node.clock().now() - t->started_at},
            {"before", share(t->baseline)},
            {"during", share(t->observed)}};
}

json state_now(const Node& node) {
    StateStore* keeper = node.keeper();
    if (!keeper) return nullptr;
    const auto counts = keeper->counts();
    json j = {{"usable", keeper->usable()},
              {"settled", keeper->settled()},
              {"written", counts.written},
              {"failed", counts.failed},
              {"bytes", counts.bytes}};
    if (!keeper->usable()) j["why"] = keeper->unusable_reason();
    if (counts.last_error) j["last_error"] = std::strerror(counts.last_error);
    return j;
}

json entry(const ConfigVersions::Entry& e) {
    json j = {{"generation", e.number()},
              {"content_of", e.content_version},
              {"source", to_string(e.source)},
              {"state", to_string(e.state)},
              {"at_ms", std::floor(e.committed_at)}};
    if (!e.note.empty()) j["note"] = e.note;
    return j;
}

HttpResponse told(const Node& node, const ConfigChange& change, json more = json::object()) {
    more["result"] = to_string(change.result);
    more["generation"] = change.generation;
    if (!change.note.empty()) more["error"] = change.note;
    for (const ValidationError& c : change.complaints)
        more["complaints"].push_back({{"field", c.field}, {"what", c.what}});
    if (change.result == ConfigChange::Result::applied) more["trial"] = trial_now(node);
    const auto status = change.result == ConfigChange::Result::refused    ? http::status::unprocessable_entity
                        : change.result == ConfigChange::Result::conflict ? http::status::conflict
                        : change.result == ConfigChange::Result::missing  ? http::status::not_found
                                                                          : http::status::ok;
    return answer(status, more);
}

HttpResponse post_config(Node& node, const HttpRequest& request, const Query& query) {
    ConfigChangeOptions options;
    options.dry_run = query.flag("dry_run");
    options.expected = query.whole("expected_generation");
    if (const auto bake = query.amount("bake_ms")) options.trial.emplace().duration = *bake;
    if ((query.has("margin") || query.has("min_samples")) && !options.trial)
        throw BadCall(http::status::bad_request, "parameter bake_ms is missing");
    if (const auto margin = query.amount("margin")) {
        if (*margin > 1) throw BadCall(http::status::bad_request, "parameter margin is over 1");
        options.trial->max_drop = *margin;
    }
    if (const auto samples = query.whole("min_samples")) {
        if (*samples == 0) throw BadCall(http::status::bad_request, "parameter min_samples must be over 0");
        options.trial->min_samples = *samples;
    }
    json candidate;
    try {
        candidate = parse_config(request.body(), "the body");
    } catch (const ConfigError& error) {
        throw BadCall(http::status::bad_request, error.what());
    }
    const json before = json::parse(node.sidecar().snapshot()->config.document);
    const ConfigChange change = node.change(candidate, ConfigVersions::Source::operators, true, options);
    json more = json::object();
    if (change.result == ConfigChange::Result::sound) {
        // What it would change: fields that it leaves out and that stay are no difference.
        keep_fixed(candidate, before);
        more["changes"] = json::array();
        for (const auto& step : json::diff(before, generation_document(candidate)))
            more["changes"].push_back(step.at("op").get<std::string>() + " " +
                                      step.at("path").get<std::string>());
    }
    return told(node, change, more);
}

HttpResponse get_config(const Node& node, const Query& query) {
    const auto wanted = query.whole("generation");
    const ConfigVersions::Entry* e =
        wanted ? node.generations().find(*wanted) : &node.generations().current();
    if (!e) throw BadCall(http::status::not_found, "that generation is not kept");
    json j = entry(*e);
    j["config"] = json::parse(e->snapshot->config.document);
    return answer(http::status::ok, j);
}

HttpResponse get_history(const Node& node) {
    json all = json::array();
    for (const auto& e : node.generations().retained()) all.push_back(entry(e));
    return answer(http::status::ok, {{"generations", all}, {"trial", trial_now(node)}});
}

// The sidecar's part in the shared state; null where it takes none.
json fleet_now(const Node& node) {
    const ReplicationDriver* shared = node.shared();
    if (!shared) return nullptr;
    const replication::Replica& r = shared->replica();
    const auto versions = r.member(r.self()).versions();
    json acts = nullptr;
    if (versions) {
        const replication::Versions& v = versions->value;
        acts = {{"epoch", v.epoch}, {"hash", v.hash}, {"list", {v.list_incarnation, v.list_seq}}};
    }
    return {{"members", r.members()},
            {"alive", r.alive()},
            {"records", r.records()},
            {"caught_up", r.caught_up()},
            {"acts_on", acts},
            {"list_behind", shared->endpoints_follower().behind()},
            {"settings_behind", shared->settings_follower().behind()}};
}

HttpResponse get_status(const Node& node) {
    const auto held = node.usage();
    const auto recent = node.generations().recent(node.clock().now());
    const auto& counts = node.counts();
    const Config& config = node.sidecar().snapshot()->config;
    std::ostringstream discovery;
    discovery << config.discovery_address;
    return answer(
        http::status::ok,
        {{"name", config.name},
         {"stopping", node.stopping()},
         {"generation", entry(node.generations().current())},
         {"trial", trial_now(node)},
         {"last_minute", share(recent)},
         {"list",
          {{"held", node.sidecar().has_endpoints()},
           {"seq", node.discovery().seq()},
           {"servers", held.endpoints},
           {"removed", held.ejected},
           {"discovery", discovery.str()}}},
         {"state", state_now(node)},
         {"fleet", fleet_now(node)},
         {"unanswered", node.sidecar().pending_requests()},
         {"connections", {{"clients", node.listener().connections()}, {"servers", held.connections}}},
         {"changes",
          {{"applied", counts.applied},
           {"refused", counts.refused},
           {"unchanged", counts.unchanged},
           {"rolled_back", counts.rolled_back},
           {"taken_back", counts.taken_back},
           {"last_pause_ms", counts.last_pause},
           {"longest_pause_ms", counts.longest_pause}}}});
}

HttpResponse get_metrics(const Node& node) {
    std::ostringstream out;
    const auto family = [&](const char* name, const char* type, const char* help) {
        out << "# HELP ochregrade_" << name << ' ' << help << "\n# TYPE ochregrade_" << name << ' ' << type
            << '\n';
    };
    const auto line = [&](const char* name, auto value, const char* label = "") {
        out << "ochregrade_" << name << label << ' ' << value << '\n';
    };
    // One line for each place of `counts`, labelled with its name.
    const auto by_reason = [&](const char* name, const auto& counts, const char* label, const auto& name_at,
                               const std::string& more = "") {
        for (std::size_t i = 0; i < counts.size(); ++i)
            line(name, counts[i], ("{" + more + label + "=\"" + std::string(name_at(i)) + "\"}").c_str());
    };
    const auto gauge = [&](const char* name, auto value, const char* help) {
        family(name, "gauge", help), line(name, value);
    };
    const auto counter = [&](const char* name, auto value, const char* help) {
        family(name, "counter", help), line(name, value);
    };
    const auto& t = node.sidecar().totals();
    const auto held = node.usage();
    const auto& c = node.counts();
    counter("requests_total", t.arrived, "Requests taken.");
    family("answers_total", "counter", "Final answers by kind; left: the client did not wait.");
    line("answers_total", t.served, "{result=\"served\"}");
    line("answers_total", t.rejected, "{result=\"refused\"}");
    line("answers_total", t.failed, "{result=\"failed\"}");
    line("answers_total", t.forwarded_errors, "{result=\"passed_on\"}");
    line("answers_total", t.client_disconnects, "{result=\"left\"}");
    counter("attempts_total", t.attempts, "Attempts at servers.");
    family("retries_total", "counter", "Attempts after the first, by how the one before ended.");
    by_reason("retries_total", t.retries, "after", [](std::size_t i) {
        return i < kOutcomeCount ? to_string(static_cast<Outcome>(i)) : std::string_view("in_flight");
    });
    const auto end_name = [](std::size_t i) { return to_string(static_cast<EndReason>(i)); };
    family("refusals_total", "counter", "Requests answered 503, by reason.");
    by_reason("refusals_total", t.rejections, "reason", end_name);
    family("failures_total", "counter", "Requests answered 502, by reason.");
    by_reason("failures_total", t.failures, "reason", end_name);
    const auto close_name = [](std::size_t i) { return to_string(static_cast<CloseReason>(i)); };
    family("closes_total", "counter", "Connections closed, by side and reason.");
    by_reason("closes_total", node.listener().closes(), "reason", close_name, "side=\"clients\",");
    by_reason("closes_total", node.sidecar().server_closes(), "reason", close_name, "side=\"servers\",");
    const auto& guard = node.sidecar().rule_guard().counts();
    family("sends_withheld_total", "counter", "Attempts that the rule guard kept from being written.");
    by_reason("sends_withheld_total", guard.withheld, "reason",
              [](std::size_t i) { return to_string(static_cast<Withheld>(i)); });
    family("rule_violations_total", "counter", "Rules broken, or that would have been but for the guard.");
    by_reason("rule_violations_total", guard.violations, "rule",
              [](std::size_t i) { return to_string(static_cast<Violation>(i)); });
    counter("probes_total", t.probes, "Probes of servers.");
    counter("peer_messages_total", t.gossip_sent, "Datagrams to other sidecars.");
    gauge("unanswered", node.sidecar().pending_requests(), "Requests without a final answer.");
    family("connections", "gauge", "Open connections.");
    line("connections", node.listener().connections(), "{side=\"clients\"}");
    line("connections", held.connections, "{side=\"servers\"}");
    gauge("servers", held.endpoints, "Servers known.");
    gauge("servers_removed", held.ejected, "Servers out of the pool after failures (outlier ejection).");
    gauge("list_seq", node.discovery().seq(), "Number of the list of servers held.");
    gauge("config_generation", node.generations().current().number(), "Generation in force.");
    gauge("config_on_trial", node.generations().canary() ? 1 : 0, "Whether it is on trial.");
    family("config_changes_total", "counter", "Changes of the configuration by how they ended.");
    line("config_changes_total", c.applied, "{result=\"applied\"}");
    line("config_changes_total", c.refused, "{result=\"refused\"}");
    line("config_changes_total", c.unchanged, "{result=\"unchanged\"}");
    line("config_changes_total", c.rolled_back, "{result=\"rolled_back\"}");
    line("config_changes_total", c.taken_back, "{result=\"taken_back\"}");
    if (const ReplicationDriver* shared = node.shared()) {
        const auto& f = shared->replica().counts();
        gauge("fleet_members_alive", shared->replica().alive(), "Members of the shared state held to run.");
        counter("fleet_datagrams_sent_total", f.sent, "Datagrams of the shared state sent.");
        counter("fleet_bytes_sent_total", f.sent_bytes, "Bytes of them.");
        counter("fleet_datagrams_received_total", f.received, "Datagrams of the shared state received.");
        family("fleet_datagrams_dropped_total", "counter", "Datagrams that could not be read, by cause.");
        for (int i = 0; i < replication::kFaults; ++i)
            line("fleet_datagrams_dropped_total", f.faults[static_cast<std::size_t>(i)],
                 ("{cause=\"" + std::string(replication::to_string(static_cast<replication::Fault>(i))) +
                  "\"}")
                     .c_str());
        counter("fleet_unknown_members_total", f.unknown_members, "Items about numbers beyond the tier.");
        counter("fleet_far_lives_total", f.far_lives, "Items of lives too far ahead of the clock.");
        counter("fleet_refuted_total", f.refuted, "Untrue things said of this sidecar, refuted.");
        counter("fleet_suspected_total", f.suspected, "Members suspected after a probe of ours.");
        counter("fleet_stalls_total", f.stalls, "Times this process stood still.");
        counter("fleet_list_calls_total", shared->endpoints_follower().calls(),
                "Lists asked for since others had newer.");
        counter("fleet_settings_reads_total", shared->settings_follower().calls(), "The same for the file.");
        counter("fleet_unfounded_claims_total",
                shared->endpoints_follower().unfounded() + shared->settings_follower().unfounded(),
                "Claims of newer versions that nothing was found of.");
    }
    if (StateStore* keeper = node.keeper()) {
        const auto counts = keeper->counts();
        counter("state_writes_total", counts.written, "Records written to the state folder.");
        counter("state_write_failures_total", counts.failed, "Records that could not be written.");
        counter("state_bytes_total", counts.bytes, "Bytes of the records written.");
    }
    gauge("config_commit_seconds_max", c.longest_pause / 1000, "Longest pause of the loop for a commit.");
    gauge("config_change_seconds_max", c.longest_change / 1000, "The same with checking and preparing.");
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = out.str();
    return response;
}

// A page in a browser on this machine must not reach what only operators may.
void check_origin(const HttpRequest& request) {
    if (request.count(http::field::origin) > 0)
        throw BadCall(http::status::forbidden, "calls from web pages are refused");
    std::string host(request[http::field::host]);
    const auto colon = host.rfind(':');
    if (colon != std::string::npos && host.find(']', colon) == std::string::npos) host.resize(colon);
    if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
    error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    if (host != "localhost" && (ec || !address.is_loopback()))
        throw BadCall(http::status::forbidden, "Host is not this machine's loopback");
}

HttpResponse route(Node& node, const HttpRequest& request) {
    check_origin(request);
    const std::string target(request.target());
    const auto mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string text = mark == std::string::npos ? "" : target.substr(mark + 1);
    const bool get = request.method() == http::verb::get, post = request.method() == http::verb::post;
    const auto only = [&](bool fits, const char* allow) {
        if (!fits) throw BadCall(http::status::method_not_allowed, std::string("only ") + allow + " here");
    };
    if (path == "/v1/config") {
        only(get || post, "GET and POST");
        if (get) return get_config(node, Query(text, {"generation"}));
        return post_config(
            node, request,
            Query(text, {"dry_run", "expected_generation", "bake_ms", "margin", "min_samples"}));
    }
    if (path == "/v1/config/history") return only(get, "GET"), Query(text, {}), get_history(node);
    if (path == "/v1/config/rollback") {
        only(post, "POST");
        const Query query(text, {"to", "expected_generation"});
        return told(node, node.roll_back(query.whole("to"), query.whole("expected_generation")));
    }
    if (path == "/v1/status") return only(get, "GET"), Query(text, {}), get_status(node);
    if (path == "/metrics") return only(get, "GET"), Query(text, {}), get_metrics(node);
    throw BadCall(http::status::not_found, "no such page");
}

}  // namespace

HttpResponse OperatorEndpoint::handle(Node& node, const HttpRequest& request) {
    try {
        return route(node, request);
    } catch (const BadCall& bad) {
        return answer(bad.status, {{"error", bad.what()}});
    } catch (const std::exception& error) {
        return answer(http::status::internal_server_error, {{"error", error.what()}});
    }
}

class OperatorEndpoint::Session : public std::enable_shared_from_this<Session> {
public:
    Session(Node& node, tcp::socket socket)
        : node_(node), stream_(std::move(socket)), write_limit_(stream_.get_executor()) {}
    void read() {
        parser_.emplace();
        parser_->header_limit(kMaxHeader);
        parser_->body_limit(kLongestBody);
        // The whole call, however slowly it drips in.
        stream_.expires_after(first_ ? std::chrono::seconds(kCallTime) : std::chrono::seconds(kIdleTime));
        http::async_read_header(stream_, buffer_, *parser_,
                                [this, self = shared_from_this()](error_code ec, std::size_t) {
                                    if (ec) return failed(ec);
                                    stream_.expires_after(kCallTime);
                                    read_body();
                                });
    }
    void end() {
        error_code ignored;
        stream_.socket().close(ignored);
    }

private:
    void read_body() {
        http::async_read(stream_, buffer_, *parser_,
                         [this, self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) return failed(ec);
                             const HttpRequest request = parser_->release();
                             write(handle(node_, request), request.keep_alive());
                         });
    }
    void failed(error_code ec) {
        if (ec == http::error::end_of_stream ||
            ec.category() != error_code(http::error::bad_method).category())
            return end();
        const auto status = ec == http::error::body_limit     ? http::status::payload_too_large
                            : ec == http::error::header_limit ? http::status::request_header_fields_too_large
                                                              : http::status::bad_request;
        write(answer(status, {{"error", ec.message()}}), false);
    }
    void write(HttpResponse response, bool keep) {
        first_ = false;
        response.version(11);
        response.keep_alive(keep);
        response.prepare_payload();
        response_ = text_of_message(response);
        write_limit_.expires_after(kCallTime);
        write_limit_.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec) self->end();
        });
        async_write_all(stream_.socket(), asio::buffer(response_),
                        [this, self = shared_from_this(), keep](error_code ec) {
                            write_limit_.cancel();
                            if (ec) return end();
                            if (keep) return read();
                            error_code ignored;
                            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
                            end();
                        });
    }

    Node& node_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{kMaxHeader + kLongestBody};
    std::optional<http::request_parser<http::string_body>> parser_;
    std::string response_;
    asio::steady_timer write_limit_;
    bool first_ = true;
};

OperatorEndpoint::OperatorEndpoint(asio::io_context& io, Node& node, const tcp::endpoint& at)
    : node_(node), acceptor_(io), retry_(io) {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(64);
    acceptor_.non_blocking(true);
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));  // see Listener::listen
    accept();
}

OperatorEndpoint::~OperatorEndpoint() = default;

void OperatorEndpoint::accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        std::erase_if(sessions_, [](const auto& s) { return s.expired(); });
        if (!ec) {
            // One too many: the oldest goes, so that idle ones can't lock operators out.
            if (sessions_.size() >= kMostSessions) {
                if (const auto oldest = sessions_.front().lock()) oldest->end();
                sessions_.pop_front();
            }
            const auto session = std::make_shared<Session>(node_, std::move(socket));
            sessions_.push_back(session);
            session->read();
            return accept();
        }
        // Out of descriptors or memory: asking again at once would spin.
        log_line("the operators' endpoint: accept: " + ec.message());
        retry_.expires_after(kAcceptRetry);
        retry_.async_wait([this](error_code stop) {
            if (!stop) accept();
        });
    });
}

}  // namespace ochregrade::sidecar
