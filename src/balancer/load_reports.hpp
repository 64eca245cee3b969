// Load reports: the mean latency ratio of our last answers, told to some peers.
//
// Input: latency ratios of our answers, messages of peers. Output: messages of one byte, the mean in
// hundredths; the ratios that peers report. Owns the report under way.
//
// How loaded the pool is shows in the answers of all sidecars; the few of one are mostly chance, and a
// concurrency limit that follows chance rejects what there is capacity for.
#pragma once

#include <optional>

#include "balancer/context.hpp"
#include "balancer/endpoint_subset.hpp"
#include "ochregrade/events.hpp"

namespace ochregrade::detail {

class LoadReports {
public:
    LoadReports(Context& context, const EndpointSubset& subset) : context_(context), subset_(subset) {}

    /// Sends the report when it is complete.
    void record_latency_ratio(double ratio);
    /// The latency ratio that a peer reports; none for other messages and where our own answers are enough.
    std::optional<double> receive(const GossipReceived& message) const;

private:
    void send();

    Context& context_;
    const EndpointSubset& subset_;
    double mean_ = 0;
    int answers_ = 0;
};

}  // namespace ochregrade::detail
