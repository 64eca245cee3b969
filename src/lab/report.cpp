#include "lab/report.hpp"

#include <fstream>

#include "lab/figures.hpp"
#include "lab/plot.hpp"
#include "lab/summary.hpp"

namespace ochregrade::lab {

namespace {

void write_outcomes(std::ofstream& csv, const OutcomeCounts& outcomes) {
    for (const std::uint64_t count : outcomes.all()) csv << ',' << count;
}

// One line per second.
void write_fleet(const std::filesystem::path& path, const Recorder& recorder,
                 const std::vector<SecondFigures>& figures_by_second) {
    std::ofstream csv(path);
    csv << "second,served,refused,failed,lost,unreachable,jain,max_over_mean,live_servers,idle_live_servers,"
           "discovery_calls,datagrams,datagram_bytes,datagrams_dropped,jain_by_speed,jain_by_speed_5s,"
           "jain_poisson_floor\n";
    for (std::size_t i = 0; i < figures_by_second.size(); ++i) {
        const Recorder::Second& second = recorder.seconds()[i];
        const SecondFigures& figures = figures_by_second[i];
        csv << i;
        write_outcomes(csv, second.outcomes);
        csv << ',' << figures.jain << ',' << figures.max_over_mean << ',' << figures.live << ','
            << figures.idle << ',' << second.discovery_calls << ',' << second.datagrams << ','
            << second.datagram_bytes << ',' << second.datagrams_dropped << ',' << figures.jain_by_speed << ','
            << figures.jain_window << ',' << figures.poisson_floor << '\n';
    }
}

// One line per server and second.
void write_servers(const std::filesystem::path& path, const Recorder& recorder) {
    std::ofstream csv(path);
    csv << "second,server,requests,connections,first_senders,live\n";
    for (std::size_t i = 0; i < recorder.servers().size(); ++i) {
        const Recorder::Server& server = recorder.servers()[i];
        for (std::size_t second = 0; second < recorder.seconds().size(); ++second)
            csv << second << ',' << i << ',' << server.requests[second] << ',' << server.connections[second]
                << ',' << server.first_senders[second] << ',' << int{server.live[second]} << '\n';
    }
}

// Requests, a row per server and a column per second, for the plot.
void write_server_matrix(const std::filesystem::path& path, const Recorder& recorder) {
    std::ofstream matrix(path);
    for (const Recorder::Server& server : recorder.servers())
        for (std::size_t second = 0; second < server.requests.size(); ++second)
            matrix << server.requests[second] << (second + 1 < server.requests.size() ? ' ' : '\n');
}

// How each sidecar spreads its requests over the servers it uses: the pairs that saw any.
void write_pairs(const std::filesystem::path& path, const Recorder& recorder) {
    std::ofstream csv(path);
    csv << "server,sidecar,requests\n";
    for (std::size_t server = 0; server < recorder.servers().size(); ++server) {
        const auto& requests = recorder.servers()[server].from_sidecar;
        for (std::size_t sidecar = 0; sidecar < requests.size(); ++sidecar)
            if (requests[sidecar] > 0) csv << server << ',' << sidecar << ',' << requests[sidecar] << '\n';
    }
}

void write_sidecars(const std::filesystem::path& path, const Recorder& recorder) {
    std::ofstream csv(path);
    csv << "sidecar,served,refused,failed,lost,unreachable,mean_served_ms\n";
    for (std::size_t i = 0; i < recorder.sidecars().size(); ++i) {
        const Recorder::Sidecar& sidecar = recorder.sidecars()[i];
        const std::uint64_t served = sidecar.outcomes[Outcome::served];
        csv << i;
        write_outcomes(csv, sidecar.outcomes);
        csv << ',' << (served > 0 ? sidecar.latency_sum_ms / static_cast<double>(served) : 0.0) << '\n';
    }
}

}  // namespace

nlohmann::json write_report(const std::filesystem::path& folder, const Experiment& experiment,
                            const Recorder& recorder, const nlohmann::json& extra) {
    std::filesystem::create_directories(folder);
    const std::vector<SecondFigures> figures = figures_by_second(recorder);
    nlohmann::json summary = summarize(experiment, recorder, figures);
    summary.update(extra);
    std::ofstream(folder / "summary.json") << summary.dump(2) << "\n";
    write_fleet(folder / "fleet.csv", recorder, figures);
    write_servers(folder / "servers.csv", recorder);
    write_server_matrix(folder / "servers.matrix", recorder);
    write_pairs(folder / "pairs.csv", recorder);
    write_sidecars(folder / "sidecars.csv", recorder);
    plot_report(folder);
    return summary;
}

}  // namespace ochregrade::lab
