// A trace of each state change of requests and connections, from which the course of a request can be
// reconstructed afterwards (docs/OBSERVABILITY.md). Each line is one JSON object. The trace is written only
// if OCHREGRADE_TRACE names a file. It is appended to that file, and stops when this run has written 64 MiB.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace ochregrade::sidecar {

/// Whether events are recorded. Callers must check this before they call trace_event().
bool tracing();

/// Appends {"t":<Unix ms>,"mono":<monotonic ms>,"event":"...", fields...}.
void trace_event(std::string_view event,
                 const std::vector<std::pair<std::string_view, nlohmann::json>>& fields);

}  // namespace ochregrade::sidecar
