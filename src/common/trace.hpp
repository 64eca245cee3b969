// A trace of each state change of requests and connections, one JSON object a line, for finding out
// afterwards what happened to a request (docs/OBSERVABILITY.md). Off unless OCHREGRADE_TRACE names a file;
// ends at 64 MiB.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace ochregrade::sidecar {

/// Whether events are recorded; callers check before they build one.
bool tracing();

/// Appends {"t":<Unix ms>,"mono":<monotonic ms>,"event":"...", fields...}.
void trace_event(std::string_view event,
                 const std::vector<std::pair<std::string_view, nlohmann::json>>& fields);

}  // namespace ochregrade::sidecar
