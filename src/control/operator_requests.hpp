// Requests of operators: from the target and the body to a call on the Node and its answer. No sockets.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

class Node;

/// A response with a JSON body.
HttpResponse json_response(http::status status, const nlohmann::json& body);

/// Carries out one request. Every error becomes a response.
HttpResponse handle_operator_request(Node& node, const HttpRequest& request);

}  // namespace ochregrade::sidecar
