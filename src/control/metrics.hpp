// The page /metrics: counters and gauges of one sidecar in the Prometheus text format 0.0.4. The names are
// an interface to dashboards (docs/OBSERVABILITY.md) and do not change.
#pragma once

#include <string>

namespace ochregrade::sidecar {

class Node;

std::string render_metrics(const Node& node);

}  // namespace ochregrade::sidecar
