#include "lab/summary.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace ochregrade::lab {

namespace {

using nlohmann::json;

template <class Values>
double total(const Values& values, int from = 0) {
    return std::accumulate(values.begin() + from, values.end(), 0.0);
}

double share(std::uint64_t part, std::uint64_t total_count, double of_none) {
    return total_count > 0 ? static_cast<double>(part) / static_cast<double>(total_count) : of_none;
}

// Requests of each server from second `from` on.
std::vector<double> requests_by_server(const Recorder& recorder, int from) {
    std::vector<double> requests;
    for (const Recorder::Server& server : recorder.servers())
        requests.push_back(total(server.requests, from));
    return requests;
}

json load_figures(const std::vector<SecondFigures>& seconds, int from, const std::vector<double>& requests) {
    std::vector<double> jains, by_speed, windows, poisson_floors, max_over_mean;
    int seconds_with_idle = 0;
    for (auto i = static_cast<std::size_t>(from); i < seconds.size(); ++i) {
        const SecondFigures& second = seconds[i];
        jains.push_back(second.jain);
        by_speed.push_back(second.jain_by_speed);
        poisson_floors.push_back(second.poisson_floor);
        if (static_cast<int>(i) >= from + kWindowSeconds - 1) windows.push_back(second.jain_window);
        max_over_mean.push_back(second.max_over_mean);
        seconds_with_idle += second.idle > 0 ? 1 : 0;
    }
    return {{"jain_mean", mean(jains)},
            {"jain_p10", percentile(jains, 0.1)},
            {"jain_min", smallest(jains, 1.0)},
            {"jain_poisson_floor_mean", mean(poisson_floors)},
            {"jain_by_speed_mean", mean(by_speed)},
            {"jain_by_speed_5s_mean", mean(windows)},
            {"max_over_mean_mean", mean(max_over_mean)},
            {"max_over_mean_max", largest(max_over_mean, 1.0)},
            {"seconds_with_an_idle_live_server", seconds_with_idle},
            {"requests_per_server_min", smallest(requests, 0.0)},
            {"requests_per_server_max", largest(requests, 0.0)},
            {"jain_over_servers_whole_run", jain(requests)}};
}

json cold_server_figures(const Recorder& recorder) {
    std::uint32_t most = 0;
    for (const Recorder::Server& server : recorder.servers())
        for (const std::uint32_t first_senders : server.first_senders) most = std::max(most, first_senders);
    return {{"most_first_senders_in_one_second", most}};
}

json connection_figures(const Recorder& recorder) {
    std::vector<double> connections;
    for (const Recorder::Server& server : recorder.servers())
        connections.push_back(total(server.connections));
    return {{"mean", mean(connections)}, {"max", largest(connections, 0.0)}};
}

// How many sidecars sent to each server from second `from` on.
json coverage_figures(const Recorder& recorder, int from) {
    std::vector<double> coverage;
    for (const Recorder::Server& server : recorder.servers()) {
        const auto& last = server.last_sender_second;
        const auto senders =
            std::count_if(last.begin(), last.end(), [&](auto second) { return second >= from; });
        coverage.push_back(static_cast<double>(senders));
    }
    return {{"mean", mean(coverage)}, {"min", smallest(coverage, 0.0)}, {"max", largest(coverage, 0.0)}};
}

OutcomeCounts total_outcomes(const Recorder& recorder) {
    OutcomeCounts totals;
    for (const Recorder::Sidecar& sidecar : recorder.sidecars())
        for (int i = 0; i < kOutcomeCount; ++i)
            totals[static_cast<Outcome>(i)] += sidecar.outcomes[static_cast<Outcome>(i)];
    return totals;
}

json outcome_figures(const OutcomeCounts& counts) {
    json figures;
    for (int i = 0; i < kOutcomeCount; ++i) {
        const auto outcome = static_cast<Outcome>(i);
        figures[std::string(to_string(outcome))] = counts[outcome];
    }
    return figures;
}

json class_figures(const Experiment& experiment, const Recorder& recorder) {
    json figures = json::array();
    for (std::size_t i = 0; i < recorder.classes().size(); ++i) {
        const OutcomeCounts& outcomes = recorder.classes()[i].outcomes;
        figures.push_back({{"name", experiment.classes[i].name},
                           {"requests", outcomes.total()},
                           {"served_share", share(outcomes[Outcome::served], outcomes.total(), 1.0)}});
    }
    return figures;
}

json datagram_figures(const Recorder::Second& totals, double seconds, int sidecars) {
    return {{"per_second_per_sidecar", static_cast<double>(totals.datagrams) / seconds / sidecars},
            {"bytes_per_second_per_sidecar", static_cast<double>(totals.datagram_bytes) / seconds / sidecars},
            {"dropped", totals.datagrams_dropped}};
}

// Calls and datagrams of the whole run.
Recorder::Second total_traffic(const Recorder& recorder) {
    Recorder::Second totals;
    for (const Recorder::Second& second : recorder.seconds()) {
        totals.discovery_calls += second.discovery_calls;
        totals.datagrams += second.datagrams;
        totals.datagram_bytes += second.datagram_bytes;
        totals.datagrams_dropped += second.datagrams_dropped;
    }
    return totals;
}

}  // namespace

json summarize(const Experiment& experiment, const Recorder& recorder,
               const std::vector<SecondFigures>& seconds) {
    const int from = std::min(recorder.length() - 1, static_cast<int>(std::ceil(experiment.warmup_s)));
    const double measured = recorder.length() - from;
    const double length = recorder.length();
    const OutcomeCounts outcomes = total_outcomes(recorder);
    const Recorder::Second traffic = total_traffic(recorder);
    const auto idle_sidecars = std::count_if(
        recorder.sidecars().begin(), recorder.sidecars().end(),
        [](const Recorder::Sidecar& sidecar) { return sidecar.outcomes[Outcome::served] == 0; });
    return {{"experiment", experiment.name},
            {"seed", experiment.seed},
            {"sidecars", experiment.sidecars},
            {"servers", experiment.servers},
            {"seconds_measured", measured},
            {"requests", outcomes.total()},
            {"outcomes", outcome_figures(outcomes)},
            {"served_share", share(outcomes[Outcome::served], outcomes.total(), 0.0)},
            {"classes", class_figures(experiment, recorder)},
            {"sidecars_that_served_nothing", idle_sidecars},
            {"load", load_figures(seconds, from, requests_by_server(recorder, from))},
            {"cold_servers", cold_server_figures(recorder)},
            {"connections_per_server", connection_figures(recorder)},
            {"sidecars_per_server", coverage_figures(recorder, from)},
            {"discovery_calls_per_second", static_cast<double>(traffic.discovery_calls) / length},
            {"datagrams", datagram_figures(traffic, length, experiment.sidecars)}};
}

}  // namespace ochregrade::lab
