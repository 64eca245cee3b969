#include "proxy/request_validation.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ochregrade::sidecar {

namespace {

// Longest correlation id, bytes. Several copies of it exist while its request is served.
constexpr std::size_t kMaxCorrelationIdBytes = 1024;

struct ParsedNumber {
    double value = 0;
    const char* end = nullptr;  // the first character after the number
};

// Parses a finite, non-negative number at the start of the text.
std::optional<ParsedNumber> parse_number(beast::string_view text) {
    ParsedNumber number;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number.value);
    number.end = parsed.ptr;
    const bool valid = parsed.ec == std::errc() && std::isfinite(number.value) && number.value >= 0 &&
                       !std::signbit(number.value);
    if (!valid) return {};
    return number;
}

bool is_given_once(const HttpRequest& request, const char* name) {
    return request.count(name) == 1 && !request[name].empty();
}

// Whether the text consists of visible ASCII characters only.
bool is_graphic(beast::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

bool has_required_headers(const HttpRequest& request) {
    return is_given_once(request, "Host") && is_given_once(request, "X-Correlation-Id") &&
           is_given_once(request, "X-Service-Class") && is_given_once(request, "X-Time-Left") &&
           request["X-Correlation-Id"].size() <= kMaxCorrelationIdBytes &&
           is_graphic(request["X-Correlation-Id"]) && parse_time_left(request["X-Time-Left"]);
}

bool has_valid_weight_hint(const HttpRequest& request) {
    if (request.count("X-Weight-Hint") == 0) return true;
    const auto hint = request["X-Weight-Hint"];
    const auto number = parse_number(hint);
    return number && number->end == hint.data() + hint.size();
}

bool has_body(const HttpRequest& request) {
    const bool framed =
        request.count(http::field::transfer_encoding) > 0 || request.count(http::field::content_length) > 0;
    return framed && request[http::field::content_length] != "0";
}

bool has_valid_key(const HttpRequest& request, Idempotency idempotency) {
    if (idempotency == Idempotency::idempotent_with_key) return is_given_once(request, "Idempotency-Key");
    return request.count("Idempotency-Key") == 0;
}

// The first segment of the path must be the name of the class.
bool has_valid_path(const HttpRequest& request, const std::string& class_name) {
    auto path = request.target();
    if (!is_graphic(path) || path.empty() || path.front() != '/') return false;
    path = path.substr(1, path.find_first_of("/?#", 1) - 1);
    return path == class_name;
}

}  // namespace

std::optional<Millis> parse_time_left(beast::string_view text) {
    const auto number = parse_number(text);
    if (!number || number->end + 1 != text.data() + text.size()) return {};
    if (*number->end == 'm') return number->value;
    if (*number->end == 'u') return number->value / 1000;
    return {};
}

std::optional<http::status> framing_error(const HttpRequest& request) {
    if (request.version() != 11) return http::status::http_version_not_supported;
    const auto coding = request[http::field::transfer_encoding];
    const auto length = request[http::field::content_length];
    const auto codings = request.count(http::field::transfer_encoding);
    const auto lengths = request.count(http::field::content_length);
    if (codings + lengths > 1) return http::status::bad_request;
    if (codings == 1 && !beast::iequals(coding, "chunked")) return http::status::bad_request;
    // Beast also accepts a list of equal lengths ("5, 5"); an endpoint might not.
    if (!std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; }))
        return http::status::bad_request;
    return {};
}

std::optional<http::status> request_error(const HttpRequest& request, const Config& config) {
    const bool is_get = request.method() == http::verb::get;
    if (!is_get && request.method() != http::verb::post) return http::status::method_not_allowed;
    if (!has_required_headers(request) || !has_valid_weight_hint(request)) return http::status::bad_request;
    const auto& names = config.classes;
    const auto name = std::find(names.begin(), names.end(), request["X-Service-Class"]);
    if (name == names.end()) return http::status::bad_request;
    const auto class_index = static_cast<std::size_t>(name - names.begin());
    const Idempotency idempotency = config.settings.classes[class_index].idempotency;
    if (is_get != (idempotency == Idempotency::idempotent)) return http::status::method_not_allowed;
    if (is_get && has_body(request)) return http::status::bad_request;
    if (!has_valid_key(request, idempotency)) return http::status::bad_request;
    if (!has_valid_path(request, *name)) return http::status::bad_request;
    return {};
}

}  // namespace ochregrade::sidecar
