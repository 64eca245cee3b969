// Shared evidence: what this sidecar publishes of endpoints, and what it does on the reports of the others.
//
// Input: our outcomes, ejections and restorations, the fleet's evidence (counts of the last 10 s). Output:
// PublishEvidence actions, ejections on a quorum of reports, trials brought forward, endpoints withdrawn.
// Owns the evidence state in the endpoints' records. Source: Envoy's max_ejection_percent for the cap.
//
// A window of outcomes is soon filled by all sidecars together, where one of them takes minutes. So each
// publishes what it saw of an endpoint that fails, or that others report, and judges by the sum as by a
// window of its own. Its own fresh outcomes go before the reports of others, and a backoff and a trial of its
// own follow.
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
    /// Its half-open trial has succeeded.
    void record_recovery(EndpointRecord& endpoint) {
        endpoint.evidence.forget_failures();
        publish(endpoint, PublishReason::recovered);
    }
    void receive(const FleetEvidence& evidence);
    /// Evidence is no longer shared.
    void forget_fleet();

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
