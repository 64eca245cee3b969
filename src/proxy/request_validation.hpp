// Validation of clients' requests before they are accepted: the protocol's rules on framing and headers, by
// the configuration's request classes. An invalid request reaches neither the balancer nor an endpoint.
#pragma once

#include <optional>

#include "common/http.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Milliseconds of an X-Time-Left value: "480m" (milliseconds) or "480000u" (microseconds), nothing else.
std::optional<Millis> parse_time_left(beast::string_view text);

/// The status to answer with if an upstream server could delimit the request's body differently (request
/// smuggling); none if the framing is valid. The connection must be closed after such a request.
std::optional<http::status> framing_error(const HttpRequest& request);

/// The status to answer with if method, path, headers or idempotency key do not fit the request's class, or
/// the class is unknown; none if the request is valid.
std::optional<http::status> request_error(const HttpRequest& request, const Config& config);

}  // namespace ochregrade::sidecar
