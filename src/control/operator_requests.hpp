// Handles HTTP requests of operators: parses the target and the body, calls the Node and builds the response.
// This module does not use sockets.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

class Node;

/// A response with a JSON body.
HttpResponse json_response(http::status status, const nlohmann::json& body);

/// Carries out one request. Errors are returned as responses, never thrown.
HttpResponse handle_operator_request(Node& node, const HttpRequest& request);

}  // namespace ochregrade::sidecar
