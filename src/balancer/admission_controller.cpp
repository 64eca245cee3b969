#include "balancer/admission_controller.hpp"

#include <algorithm>
#include <cmath>

#include "balancer/latency_ratio.hpp"

namespace ochregrade::detail {

namespace {

// Initial and maximum concurrency limit, in attempts: high enough to be no limit in practice.
constexpr double kInitialLimit = 1000;
// Change of the concurrency limit, in attempts, per sample and per unit of difference between
// kTargetLatencyRatio and the utilisation.
constexpr double kLimitGain = 0.5;
// Lower bound of the concurrency limits of all sidecars together, in attempts per endpoint. The part of a
// single sidecar is at most 1 (fleet_share()), so that the bound is lower with fewer than four sidecars.
constexpr double kMinAttemptsPerEndpoint = 4;
// Share of the concurrency limit that is open to every class, whatever its priority weight. Client retries of
// every class get only this share: the latency objective of such a request has been running since the client
// first sent it, so that the response is more likely to be late.
constexpr double kCommonShare = 0.6;
// Time constant with which the utilisation becomes stale. A sample below the utilisation gets more weight the
// longer ago the previous sample was: a sidecar that sheds most of its requests gets few samples, and its
// utilisation would otherwise stay high for long.
constexpr Millis kUtilisationTimeConstant = 5000;
// Weight of a peer's report in this sidecar's utilisation.
constexpr double kPeerReportWeight = 0.1;

}  // namespace

AdmissionController::AdmissionController(Context& context, const EndpointTable& table,
                                         const EndpointSubset& subset)
    : context_(context), table_(table), subset_(subset), limit_(kInitialLimit) {}

bool AdmissionController::admits(double priority_weight, double highest_priority_weight, bool client_retry) {
    const double share = kCommonShare + (1 - kCommonShare) * priority_weight / highest_priority_weight *
                                            (client_retry ? 0 : 1);
    const double limit = limit_ * share;
    return in_flight_ < limit && (limit >= 1 || context_.random.unit() < limit);
}

void AdmissionController::record_latency_ratio(double ratio) {
    // The utilisation is smoothed so that a single slow response does not lower the limit of a sidecar that
    // gets few responses.
    const double staleness =
        ratio < utilisation_ ? 1 - std::exp((updated_at_ - context_.now) / kUtilisationTimeConstant) : 0;
    utilisation_ += (ratio - utilisation_) * std::max(2.0 / kSmoothingWindow, staleness);
    updated_at_ = context_.now;
    smooth(peak_in_flight_, in_flight_);
    peak_in_flight_ = std::max<double>(peak_in_flight_, in_flight_);
    const double step = kLimitGain * (kTargetLatencyRatio - utilisation_);
    if (step < 0)
        limit_ = std::max(minimum_limit(), std::min(limit_, peak_in_flight_ + 1.0) + step);
    else if (in_flight_ + 1 > limit_ / 2)  // the limit grows only while about half of it is used
        limit_ = std::min(kInitialLimit, limit_ + step);
}

void AdmissionController::record_peer_latency_ratio(double ratio) {
    utilisation_ += (ratio - utilisation_) * kPeerReportWeight;
}

void AdmissionController::record_capacity_change(double before, double after) {
    if (!(after < before) || !subset_.is_traffic_sparse()) return;
    limit_ = std::max(minimum_limit(), std::min(limit_, peak_in_flight_) * after / before);
}

double AdmissionController::minimum_limit() const {
    return fleet_share() * static_cast<double>(table_.size());
}

double AdmissionController::fleet_share() const {
    return std::min(1.0, kMinAttemptsPerEndpoint / std::max(1u, context_.settings->sidecar_count));
}

}  // namespace ochregrade::detail
