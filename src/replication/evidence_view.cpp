#include "replication/evidence_view.hpp"

#include <algorithm>
#include <set>

namespace ochregrade::replication {

namespace {

constexpr Millis kRebuildPeriod = 50;         // minimum time between rebuilds (ms)
constexpr std::size_t kMaxConfirmations = 8;  // requests for confirmation per rebuild
constexpr Millis kConfirmPeriod = 500;        // minimum time between requests to an origin (ms)
constexpr double kLatencyRatioUnit = 64.0;    // Evidence::latency_ratio counts in 1/64

bool reports_failure(const Evidence& evidence) {
    return evidence.failures != 0 || (evidence.flags & kEjected);
}

}  // namespace

struct EvidenceView::Sum {
    EndpointTotals totals;
    std::uint32_t latency_ratios = 0;
    std::vector<MemberId> indirect;  // origins whose failure report was forwarded by another member

    void add(MemberId origin, const Record<Evidence>& record) {
        const Evidence& evidence = record.value;
        totals.successes += evidence.successes;
        totals.withdrawals += record.direct && (evidence.flags & kWithdrawn) != 0;
        totals.recoveries += (evidence.flags & kRecovered) != 0;
        if (evidence.latency_ratio > 0 && record.direct) {
            latency_ratios += evidence.latency_ratio;
            ++totals.latency_reporters;
        }
        if (!reports_failure(evidence)) return;
        ++totals.reporters;
        if (record.direct) {
            ++totals.direct_reporters;
            totals.failures += evidence.failures;
        } else {
            indirect.push_back(origin);
        }
    }
};

void EvidenceView::mark_members_changed() {
    outdated_ = true;
    members_changed_ = true;
}

Millis EvidenceView::due() const { return outdated_ ? rebuilt_at_ + kRebuildPeriod : kNever; }

void EvidenceView::refresh(Millis now, std::vector<Outgoing>& out) {
    if (outdated_ && now >= rebuilt_at_ + kRebuildPeriod) rebuild(now, out);
}

std::uint32_t EvidenceView::reporters(EndpointKey endpoint) const {
    const auto found = reporters_.find(endpoint);
    return found == reporters_.end() ? 0 : found->second.all;
}

std::uint32_t EvidenceView::direct_reporters(EndpointKey endpoint) const {
    const auto found = reporters_.find(endpoint);
    return found == reporters_.end() ? 0 : found->second.direct;
}

std::map<EndpointKey, EvidenceView::Sum> EvidenceView::sum_by_endpoint() const {
    std::map<EndpointKey, Sum> sums;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto origin = static_cast<MemberId>(i);
        const OriginState& state = members_.at(origin);
        if (origin == members_.self() || state.member_state().status == Status::dead) continue;
        for (const auto& [endpoint, record] : state.evidence()) sums[endpoint].add(origin, record);
    }
    return sums;
}

void EvidenceView::rebuild(Millis now, std::vector<Outgoing>& out) {
    outdated_ = false;
    rebuilt_at_ = now;
    std::vector<EndpointTotals> totals;
    IndirectReporters indirect;
    reporters_.clear();
    for (auto& [endpoint, sum] : sum_by_endpoint()) {
        EndpointTotals total = sum.totals;
        total.endpoint = endpoint;
        if (total.latency_reporters > 0)
            total.latency_ratio = sum.latency_ratios / kLatencyRatioUnit / total.latency_reporters;
        reporters_[endpoint] = {total.reporters, total.direct_reporters};
        if (total.reporters >= kQuorum && total.direct_reporters < kQuorum) indirect[endpoint] = sum.indirect;
        totals.push_back(total);
    }
    if (members_changed_ || totals != totals_) ++revision_;
    members_changed_ = false;
    totals_ = std::move(totals);
    request_confirmations(now, indirect, out);
}

// The order in which origins are asked to confirm, without those asked within kConfirmPeriod. Origins that
// report more of the endpoints come first, because a reply contains all records of its origin. Ties are in
// random order.
std::vector<MemberId> EvidenceView::confirmation_order(const IndirectReporters& indirect) {
    std::map<MemberId, int> endpoints_reported;
    for (const auto& [endpoint, origins] : indirect)
        for (const MemberId origin : origins)
            if (!requested_at_.count(origin)) ++endpoints_reported[origin];
    std::vector<std::pair<double, MemberId>> ranked;
    ranked.reserve(endpoints_reported.size());
    for (const auto& [origin, endpoints] : endpoints_reported)
        ranked.emplace_back(-endpoints - random_.unit(), origin);
    std::sort(ranked.begin(), ranked.end());
    std::vector<MemberId> order;
    order.reserve(ranked.size());
    for (const auto& [rank, origin] : ranked) order.push_back(origin);
    return order;
}

void EvidenceView::request_confirmations(Millis now, const IndirectReporters& indirect,
                                         std::vector<Outgoing>& out) {
    std::erase_if(requested_at_, [&](const auto& entry) { return now >= entry.second + kConfirmPeriod; });
    std::set<MemberId> chosen;
    // Whether the origin reports an endpoint for which fewer than kQuorum origins have been asked.
    const auto is_needed = [&](MemberId origin) {
        return std::any_of(indirect.begin(), indirect.end(), [&](const auto& entry) {
            const std::vector<MemberId>& origins = entry.second;
            const auto requested = std::count_if(origins.begin(), origins.end(), [&](MemberId other) {
                return chosen.count(other) > 0 || requested_at_.count(other) > 0;
            });
            return requested < static_cast<std::ptrdiff_t>(kQuorum) &&
                   std::find(origins.begin(), origins.end(), origin) != origins.end();
        });
    };
    for (const MemberId origin : confirmation_order(indirect)) {
        if (chosen.size() >= kMaxConfirmations) break;
        if (!is_needed(origin)) continue;
        chosen.insert(origin);
        Datagram request = sender_.make(Kind::summary);
        request.add(StateRequestItem{origin});
        ++counts_.confirmations;
        sender_.send(origin, std::move(request), out);
    }
    for (const MemberId origin : chosen) requested_at_[origin] = now;
    // A request or its reply may be lost, so the next rebuild checks again whether confirmations are missing.
    if (!requested_at_.empty() && !indirect.empty()) outdated_ = true;
}

}  // namespace ochregrade::replication
