#include "balancer/failure_gossip.hpp"

#include <algorithm>

#include "balancer/peer_sampling.hpp"

namespace ochregrade::detail {

namespace {

// Each failure is reported to one sidecar in kSidecarsPerReport, but to at most kMaxReports sidecars. The
// maximum bounds the number of messages that each sidecar sends and receives in a fleet of any size.
constexpr std::uint32_t kSidecarsPerReport = 4;
constexpr std::uint32_t kMaxReports = 88;
// Decayed number of failures from which an endpoint is suspected: an occasional failure is no reason to put
// more load on the other endpoints.
constexpr double kMinSuspicion = 2;
// Length of a message, which is an endpoint's id.
constexpr std::size_t kMessageBytes = 4;

}  // namespace

double FailureGossip::suspicion(const EndpointRecord& endpoint) const {
    double failures = endpoint.suspicion.at(context_.now);
    const EndpointEvidence& evidence = endpoint.evidence.fleet();
    // If there is a quorum of direct reporters, the suspicion grows by their number times the share of
    // failures among the reported outcomes. One more failure is added to the counts, so that the share is
    // never 0.
    if (evidence.direct_reporters >= kEvidenceQuorum)
        failures = std::min(kMaxSuspicion, failures + evidence.direct_reporters * (evidence.failures + 1.0) /
                                                          (evidence.failures + evidence.successes + 1.0));
    return failures >= kMinSuspicion && subset_.is_traffic_sparse() ? failures : 0;
}

void FailureGossip::record_success(EndpointRecord& endpoint) const { endpoint.suspicion.halve(context_.now); }

void FailureGossip::record_failure(EndpointRecord& endpoint) {
    endpoint.suspicion.add_failure(context_.now);
    send_report(endpoint.info.id);
}

void FailureGossip::send_report(EndpointId endpoint) {
    const Settings& settings = *context_.settings;
    if (!settings.gossip_allowed || settings.evidence_shared || !subset_.is_traffic_sparse()) return;
    std::vector<std::uint8_t> bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<std::uint8_t>(endpoint >> shift));
    send_to_random_peers(context_, std::min(settings.sidecar_count / kSidecarsPerReport, kMaxReports), bytes);
}

void FailureGossip::receive(const GossipReceived& message, EndpointTable& table) const {
    if (message.bytes.size() != kMessageBytes) return;
    EndpointId id = 0;
    for (const std::uint8_t byte : message.bytes) id = id << 8 | byte;
    if (EndpointRecord* endpoint = table.find(id)) endpoint->suspicion.add_failure(context_.now);
}

}  // namespace ochregrade::detail
