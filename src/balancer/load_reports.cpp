#include "balancer/load_reports.hpp"

#include "balancer/latency_ratio.hpp"
#include "balancer/peer_sampling.hpp"

namespace ochregrade::detail {

namespace {

// Number of samples in a report.
constexpr int kSamplesPerReport = 10;
// Each report goes to one sidecar in kSidecarsPerReport, but to at most kMaxReports sidecars.
constexpr std::uint32_t kSidecarsPerReport = 16;
constexpr std::uint32_t kMaxReports = 22;
constexpr double kHundredths = 100;

}  // namespace

void LoadReports::record_latency_ratio(double ratio) {
    mean_ += ratio / kSamplesPerReport;
    if (++samples_ == kSamplesPerReport) send();
}

void LoadReports::send() {
    const Settings& settings = *context_.settings;
    if (settings.gossip_allowed && subset_.is_traffic_sparse())
        send_to_random_peers(context_, std::min(settings.sidecar_count / kSidecarsPerReport, kMaxReports),
                             {static_cast<std::uint8_t>(mean_ * kHundredths)});
    mean_ = 0;
    samples_ = 0;
}

std::optional<double> LoadReports::receive(const GossipReceived& message) const {
    if (message.bytes.size() != 1 || !subset_.is_traffic_sparse()) return std::nullopt;
    return std::min(kMaxLatencyRatio, message.bytes[0] / kHundredths);
}

}  // namespace ochregrade::detail
