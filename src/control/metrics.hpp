// Renders the page /metrics: counters and gauges of one sidecar in the Prometheus text format 0.0.4.
// Dashboards depend on the metric names (docs/OBSERVABILITY.md), so the names do not change.
#pragma once

#include <string>

namespace ochregrade::sidecar {

class Node;

std::string render_metrics(const Node& node);

}  // namespace ochregrade::sidecar
