// Shared evidence: publishes this sidecar's evidence about endpoints and acts on the reports of the others.
//
// Input: this sidecar's outcomes, ejections and recoveries; the fleet's evidence (reports of the last 10 s).
// Output: PublishEvidence actions, ejections on a quorum of reports, half-open trials brought forward,
// withdrawn endpoints. Owns the evidence state in the endpoint records. Source: Envoy's max_ejection_percent
// for the cap.
//
// All sidecars together fill a window of outcomes quickly, whereas a single sidecar may take minutes. Each
// sidecar therefore publishes its outcomes at an endpoint that fails, is slow or is reported as failing by
// others, and compares the totals of all reports with the outlier threshold. A sidecar's own recent outcomes
// take precedence over the reports of the others, and an ejection is followed by the sidecar's own backoff
// and half-open trial.
#pragma once

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/outlier_detection.hpp"

namespace ochregrade::detail {

enum class PublishReason { update, recovered };

class SharedEvidence {
public:
    SharedEvidence(Context& context, EndpointTable& table, OutlierDetection& outliers)
        : context_(context), table_(table), outliers_(outliers) {}

    void publish(EndpointRecord& endpoint, PublishReason reason);
    void record_outcome(EndpointRecord& endpoint, Outcome outcome);
    /// The half-open trial of the endpoint has succeeded.
    void record_recovery(EndpointRecord& endpoint) {
        endpoint.evidence.clear_failures();
        publish(endpoint, PublishReason::recovered);
    }
    void receive(const FleetEvidence& evidence);
    /// Clears the reports of the other sidecars, because evidence is no longer shared.
    void clear_fleet_evidence();

private:
    void update_records(const FleetEvidence& evidence);
    void apply(EndpointRecord& endpoint);
    bool is_confirmed_healthy(EndpointRecord& endpoint) const;
    bool is_outlier_by_quorum(const EndpointRecord& endpoint) const;
    bool may_eject_on_evidence() const;
    bool is_within_cap(std::size_t excluded) const;

    Context& context_;
    EndpointTable& table_;
    OutlierDetection& outliers_;
};

}  // namespace ochregrade::detail
