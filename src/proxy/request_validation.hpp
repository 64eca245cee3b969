// Validation of clients' requests before they are accepted: the protocol's rules on framing and headers, and
// the rules of the configured request classes. An invalid request reaches neither the balancer nor an
// endpoint.
#pragma once

#include <optional>

#include "common/http.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Parses an X-Time-Left value, "480m" (milliseconds) or "480000u" (microseconds). Returns milliseconds; none
/// if the value has another format.
std::optional<Millis> parse_time_left(beast::string_view text);

/// The status of the error response if the request is not HTTP/1.1, or if an endpoint could delimit its body
/// differently (request smuggling); none if the framing is valid. The connection must be closed after a
/// request with a framing error.
std::optional<http::status> framing_error(const HttpRequest& request);

/// The status of the error response if method, path, headers or idempotency key do not fit the request's
/// class, or the class is unknown; none if the request is valid.
std::optional<http::status> request_error(const HttpRequest& request, const Config& config);

}  // namespace ochregrade::sidecar
