#include "control/operator_requests.hpp"

#include <nlohmann/json.hpp>

#include "control/config_schema.hpp"
#include "control/metrics.hpp"
#include "control/operator_json.hpp"
#include "control/operator_query.hpp"
#include "process/node.hpp"

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

http::status status_of(ConfigChange::Result result) {
    switch (result) {
        case ConfigChange::Result::rejected:
            return http::status::unprocessable_entity;
        case ConfigChange::Result::conflict:
            return http::status::conflict;
        case ConfigChange::Result::missing:
            return http::status::not_found;
        case ConfigChange::Result::applied:
        case ConfigChange::Result::unchanged:
        case ConfigChange::Result::staged:
        case ConfigChange::Result::valid:
            break;
    }
    return http::status::ok;
}

// `body`: additional fields of the response, besides the fields that every change has.
HttpResponse change_response(const Node& node, const ConfigChange& change, json body = json::object()) {
    body["result"] = to_string(change.result);
    body["generation"] = change.version;
    if (!change.note.empty()) body["error"] = change.note;
    for (const ValidationError& error : change.errors)
        body["complaints"].push_back({{"field", error.field}, {"what", error.what}});
    if (change.result == ConfigChange::Result::applied) body["trial"] = canary_json(node);
    return json_response(status_of(change.result), body);
}

ConfigChangeOptions read_options(const OperatorQuery& query) {
    const auto bad_request = [](const char* what) { return OperatorError(http::status::bad_request, what); };
    ConfigChangeOptions options;
    options.dry_run = query.flag("dry_run");
    options.expected_version = query.unsigned_integer("expected_generation");
    if (const auto duration = query.non_negative("bake_ms")) options.canary.emplace().duration = *duration;
    if ((query.has("margin") || query.has("min_samples")) && !options.canary)
        throw bad_request("parameter bake_ms is missing");
    if (const auto margin = query.non_negative("margin")) {
        if (*margin > 1) throw bad_request("parameter margin is over 1");
        options.canary->max_drop = *margin;
    }
    if (const auto samples = query.unsigned_integer("min_samples")) {
        if (*samples == 0) throw bad_request("parameter min_samples must be over 0");
        options.canary->min_samples = *samples;
    }
    return options;
}

// The differences between two documents, each as a text like "replace /settings/limits/max-attempts".
json describe_changes(const json& before, const json& after) {
    json changes = json::array();
    for (const auto& step : json::diff(before, after))
        changes.push_back(step.at("op").get<std::string>() + " " + step.at("path").get<std::string>());
    return changes;
}

HttpResponse post_config(Node& node, const HttpRequest& request, const OperatorQuery& query) {
    const ConfigChangeOptions options = read_options(query);
    json candidate;
    try {
        candidate = parse_config(request.body(), "the body");
    } catch (const ConfigError& error) {
        throw OperatorError(http::status::bad_request, error.what());
    }
    const json before = json::parse(node.driver().snapshot()->config.document);
    const ConfigChange change = node.change(candidate, ConfigVersions::Source::operators, true, options);
    if (change.result != ConfigChange::Result::valid) return change_response(node, change);
    keep_fixed(candidate, before);  // omitted fixed fields keep their values, so they are no difference
    const json changes = describe_changes(before, version_document(candidate));
    return change_response(node, change, {{"changes", changes}});
}

HttpResponse get_config(const Node& node, const OperatorQuery& query) {
    const auto wanted = query.unsigned_integer("generation");
    const ConfigVersions::Entry* entry = wanted ? node.versions().find(*wanted) : &node.versions().current();
    if (!entry) throw OperatorError(http::status::not_found, "that generation is not kept");
    json body = version_json(*entry);
    body["config"] = json::parse(entry->snapshot->config.document);
    return json_response(http::status::ok, body);
}

HttpResponse get_history(const Node& node) {
    json versions = json::array();
    for (const ConfigVersions::Entry& entry : node.versions().retained())
        versions.push_back(version_json(entry));
    return json_response(http::status::ok, {{"generations", versions}, {"trial", canary_json(node)}});
}

HttpResponse get_metrics(const Node& node) {
    HttpResponse response(http::status::ok, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = render_metrics(node);
    return response;
}

// Rejects requests from web pages in a browser on this machine, which must not reach the operators' endpoint.
// Such a request has an Origin header, or the name of the page's own site in the Host header (DNS rebinding).
void check_origin(const HttpRequest& request) {
    if (request.count(http::field::origin) > 0)
        throw OperatorError(http::status::forbidden, "calls from web pages are refused");
    std::string host(request[http::field::host]);
    const auto colon = host.rfind(':');
    if (colon != std::string::npos && host.find(']', colon) == std::string::npos) host.resize(colon);
    if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
    error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    if (host != "localhost" && (ec || !address.is_loopback()))
        throw OperatorError(http::status::forbidden, "Host is not this machine's loopback");
}

void require_method(bool allowed, const char* methods) {
    if (!allowed)
        throw OperatorError(http::status::method_not_allowed, std::string("only ") + methods + " here");
}

HttpResponse route(Node& node, const HttpRequest& request) {
    check_origin(request);
    const std::string target(request.target());
    const auto mark = target.find('?');
    const std::string path = target.substr(0, mark);
    const std::string parameters = mark == std::string::npos ? "" : target.substr(mark + 1);
    const bool get = request.method() == http::verb::get;
    const bool post = request.method() == http::verb::post;
    if (path == "/v1/config") {
        require_method(get || post, "GET and POST");
        if (get) return get_config(node, OperatorQuery(parameters, {"generation"}));
        return post_config(node, request,
                           OperatorQuery(parameters, {"dry_run", "expected_generation", "bake_ms", "margin",
                                                      "min_samples"}));
    }
    if (path == "/v1/config/rollback") {
        require_method(post, "POST");
        const OperatorQuery query(parameters, {"to", "expected_generation"});
        const auto target_version = query.unsigned_integer("to");
        const auto expected = query.unsigned_integer("expected_generation");
        return change_response(node, node.roll_back(target_version, expected));
    }
    const bool is_page = path == "/v1/config/history" || path == "/v1/status" || path == "/metrics";
    if (!is_page) throw OperatorError(http::status::not_found, "no such page");
    require_method(get, "GET");
    const OperatorQuery no_parameters(parameters, {});
    if (path == "/v1/config/history") return get_history(node);
    if (path == "/v1/status") return json_response(http::status::ok, status_json(node));
    return get_metrics(node);
}

}  // namespace

HttpResponse json_response(http::status status, const json& body) {
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse handle_operator_request(Node& node, const HttpRequest& request) {
    try {
        return route(node, request);
    } catch (const OperatorError& error) {
        return json_response(error.status, {{"error", error.what()}});
    } catch (const std::exception& error) {
        return json_response(http::status::internal_server_error, {{"error", error.what()}});
    }
}

}  // namespace ochregrade::sidecar
