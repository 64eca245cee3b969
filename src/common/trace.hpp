// A trace of every state change of a request and a connection, one JSON object a line, for finding out
// afterwards what happened to a request id. Off unless OCHREGRADE_TRACE names a file; bounded in size.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace ochregrade::sidecar {

// Whether events are wanted: callers ask before they build one.
bool tracing();

// {"t":<Unix ms>,"mono":<monotonic ms>,"event":"...", fields...}
void trace_event(std::string_view event,
                 const std::vector<std::pair<std::string_view, nlohmann::json>>& fields);

}  // namespace ochregrade::sidecar
