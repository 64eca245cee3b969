// Load reports: sends the mean latency ratio of this sidecar's last responses to some peers.
//
// Input: latency ratios of this sidecar's responses, messages of peers. Output: messages of one byte, the
// mean in hundredths; the latency ratios that peers report. Owns the samples of the report in preparation.
//
// The responses to all sidecars together show the load of the pool. The few responses to a single sidecar
// with sparse traffic vary at random, and a concurrency limit that followed these few alone would reject
// requests for which the pool has capacity.
#pragma once

#include <optional>

#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

class LoadReports {
public:
    LoadReports(Context& context, const EndpointSubset& subset) : context_(context), subset_(subset) {}

    /// Adds a sample to the report in preparation. A report of ten samples is sent if gossip is allowed and
    /// this sidecar's traffic is sparse, else dropped.
    void record_latency_ratio(double ratio);
    /// The latency ratio that a peer reports; none for other messages, and none if this sidecar's own traffic
    /// is not sparse.
    std::optional<double> receive(const GossipReceived& message) const;

private:
    void send();

    Context& context_;
    const EndpointSubset& subset_;
    double mean_ = 0;
    int samples_ = 0;
};

}  // namespace ochregrade::detail
