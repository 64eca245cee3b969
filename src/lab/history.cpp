#include "lab/history.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>

#include "lab/figures.hpp"

namespace ochregrade::lab {

namespace {

using nlohmann::json;

// A server that failed until just now is still rightly ejected for what it did; evidence expires after 10 s.
constexpr double kEvidenceTtlMs = 12000;

json distribution(const std::vector<double>& values) {
    return {{"n", values.size()},
            {"p50", std::round(percentile(values, 0.5))},
            {"p99", std::round(percentile(values, 0.99))},
            {"max", values.empty() ? 0 : std::round(*std::max_element(values.begin(), values.end()))}};
}

std::vector<int> indices(const json& event, const char* key) {
    return event.contains(key) ? event[key].get<std::vector<int>>() : std::vector<int>{};
}

}  // namespace

void History::add_event(double time_ms, const json& event) {
    const std::string kind = event.value("event", "");
    if (kind == "fault") {
        begin_fault(time_ms, event);
    } else if (kind == "fault_over" || kind == "fault_failed") {
        end_fault(time_ms, event.value("number", -1));
    } else if (kind == "load_over") {
        load_ended_ = time_ms;
    }
}

void History::begin_fault(double time_ms, const json& event) {
    open_faults_[event.value("number", -1)] = {time_ms, indices(event, "servers"),
                                               indices(event, "sidecars")};
    if (event.value("rollout", 1.0) < 1) partial_rollouts_.insert(event.value("epoch", 0U));
}

void History::end_fault(double time_ms, int number) {
    const OpenFault& fault = open_faults_[number];
    const Interval interval{fault.began, time_ms};
    for (const int server : fault.servers) faulty_[server].push_back(interval);
    for (const int sidecar : fault.sidecars) unavailable_.emplace_back(sidecar, interval);
}

void History::read_log(int sidecar, const std::filesystem::path& path) {
    std::ifstream file(path);
    for (std::string text; std::getline(file, text);)
        if (const auto line = parse_log_line(text)) add_log_line(sidecar, *line);
}

void History::add_log_line(int sidecar, const LogLine& line) {
    if (const auto ejection = parse_ejection(line.text))
        ejections_[ejection->server].push_back({sidecar, line.time_ms, ejection->by_quorum});
    if (const auto catch_up_ms = parse_catch_up_ms(line.text)) catch_up_ms_.push_back(*catch_up_ms);
    if (const auto versions = parse_versions(line.text))
        versions_[sidecar].push_back({line.time_ms, *versions});
    omitted_lines_ += parse_omitted_lines(line.text);
}

bool History::was_faulty(int server, double time_ms) const {
    const auto intervals = faulty_.find(server);
    if (intervals == faulty_.end()) return false;
    return std::any_of(intervals->second.begin(), intervals->second.end(), [&](const Interval& fault) {
        return time_ms >= fault.from && time_ms <= fault.to + kEvidenceTtlMs;
    });
}

double History::expected_from(int sidecar, double since, double until) const {
    for (const auto& [who, interval] : unavailable_)
        if (who == sidecar && interval.from <= until && interval.to >= since)
            since = std::max(since, interval.to);
    return since;
}

// When each version was first acted on by any sidecar.
std::map<Version, double> History::first_uses(VersionField field) const {
    std::map<Version, double> first;
    for (const auto& [sidecar, changes] : versions_)
        for (const VersionChange& change : changes) {
            const auto [use, is_new] = first.try_emplace(change.versions.*field, change.time_ms);
            if (!is_new) use->second = std::min(use->second, change.time_ms);
        }
    return first;
}

// How long after the first of all each sidecar came to act on each version, or a later one: for so long two
// acted on contradicting ones.
json History::version_lags(VersionField field, const std::set<std::uint32_t>& excluded) const {
    const std::map<Version, double> first = first_uses(field);
    std::vector<double> lags;
    std::size_t never = 0;
    std::size_t changes = 0;
    for (const auto& [version, since] : first) {
        const bool initial = version == first.begin()->first;  // what they all started with
        if (initial || since > load_ended_ || excluded.count(version.major) > 0) continue;
        ++changes;
        for (const auto& [sidecar, sidecar_changes] : versions_) {
            const auto reached = std::find_if(
                sidecar_changes.begin(), sidecar_changes.end(),
                [field, wanted = version](const VersionChange& c) { return !(c.versions.*field < wanted); });
            const bool missing = reached == sidecar_changes.end();
            const double until = missing ? load_ended_ : reached->time_ms;
            lags.push_back(std::max(0.0, until - expected_from(sidecar, since, until)));
            never += missing ? 1 : 0;
        }
    }
    json figures = distribution(lags);
    figures["changes"] = changes;
    figures["never"] = never;
    return figures;
}

const std::vector<History::Ejection>& History::ejections_of(int server) const {
    static const std::vector<Ejection> none;
    const auto found = ejections_.find(server);
    return found == ejections_.end() ? none : found->second;
}

struct History::EjectionFigures {
    std::vector<double> after_ms;            // of faulty servers, since their fault began
    std::vector<double> by_quorum_after_ms;  // those of them on others' evidence
    std::size_t faults = 0;                  // servers times faults of theirs
    std::size_t healthy = 0;
    std::size_t healthy_by_quorum = 0;
};

void History::count_healthy(int server, EjectionFigures& figures) const {
    for (const Ejection& ejection : ejections_of(server)) {
        if (was_faulty(server, ejection.time_ms)) continue;
        ++figures.healthy;
        figures.healthy_by_quorum += ejection.by_quorum ? 1 : 0;
    }
}

// The first ejection by each sidecar counts for each fault.
void History::count_faulty(int server, EjectionFigures& figures) const {
    const auto faults = faulty_.find(server);
    if (faults == faulty_.end()) return;
    for (const Interval& fault : faults->second) {
        ++figures.faults;
        std::set<int> counted_sidecars;
        for (const Ejection& ejection : ejections_of(server)) {
            if (ejection.time_ms < fault.from || ejection.time_ms > fault.to + kEvidenceTtlMs) continue;
            if (!counted_sidecars.insert(ejection.sidecar).second) continue;
            const double after_ms = ejection.time_ms - fault.from;
            figures.after_ms.push_back(after_ms);
            if (ejection.by_quorum) figures.by_quorum_after_ms.push_back(after_ms);
        }
    }
}

json History::figures(int servers) const {
    EjectionFigures ejected;
    for (int server = 0; server < servers; ++server) {
        count_healthy(server, ejected);
        count_faulty(server, ejected);
    }
    const auto removals = static_cast<double>(ejected.after_ms.size());
    return {{"bad_servers", ejected.faults},
            {"removed_by", ejected.faults > 0 ? removals / static_cast<double>(ejected.faults) : 0},
            {"removed_after_ms", distribution(ejected.after_ms)},
            {"removed_on_hearsay_after_ms", distribution(ejected.by_quorum_after_ms)},
            {"sound_servers_removed", ejected.healthy},
            {"sound_servers_removed_on_hearsay", ejected.healthy_by_quorum},
            {"caught_up_after_ms", distribution(catch_up_ms_)},
            {"list_lag_ms", version_lags(&VersionsInUse::list, {})},
            {"settings_lag_ms", version_lags(&VersionsInUse::settings, partial_rollouts_)},
            {"log_lines_left_out", omitted_lines_}};
}

}  // namespace ochregrade::lab
