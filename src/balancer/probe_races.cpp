#include "balancer/probe_races.hpp"

#include <utility>

namespace ochregrade::detail {

namespace {

// Probes are sent only while the on-time share of this sidecar's recent attempts is between these two shares.
constexpr double kCollapsedShare = 0.7, kHealthyShare = 0.97;
// Largest share of the late or failed attempts that a race can avoid.
constexpr double kRaceGain = 0.5;
// Maximum number of probe races for one attempt.
constexpr int kMaxRounds = 2;

}  // namespace

bool ProbeRaces::is_worthwhile(const Request& request) const {
    const double on_time = statistics_.on_time_share();
    const bool pays = 2 * request.settings->fees.probe < kRaceGain * (1 - on_time);
    const bool uncertain = on_time < kHealthyShare && on_time > kCollapsedShare;
    return request.settings->probes_allowed && subset_.is_traffic_low() && uncertain && pays &&
           request.probe_rounds < kMaxRounds;
}

void ProbeRaces::start(Request& request, const EndpointRecord& first, const EndpointRecord& second) {
    ++request.probe_rounds;
    for (const EndpointRecord* endpoint : {&first, &second}) {
        ++request.pending_probes;
        waiters_[endpoint->info.id].push_back(request.id);
        context_.append_action(SendProbe{endpoint->info.id});
    }
}

std::optional<RequestId> ProbeRaces::take_waiter(EndpointId endpoint) {
    const auto entry = waiters_.find(endpoint);
    if (entry == waiters_.end()) return std::nullopt;
    std::vector<RequestId>& waiting = entry->second;
    const RequestId first = waiting.front();
    waiting.erase(waiting.begin());
    if (waiting.empty()) waiters_.erase(entry);
    return first;
}

std::vector<RequestId> ProbeRaces::take_waiters(EndpointId endpoint) {
    const auto entry = waiters_.find(endpoint);
    if (entry == waiters_.end()) return {};
    std::vector<RequestId> waiting = std::move(entry->second);
    waiters_.erase(entry);
    return waiting;
}

}  // namespace ochregrade::detail
