#include "lab/report.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <numeric>

#include "lab/history.hpp"

namespace ochregrade::lab {

double jain(const std::vector<double>& values) {
    double sum = 0, squares = 0;
    for (const double x : values) {
        sum += x;
        squares += x * x;
    }
    if (values.empty() || squares == 0) return 1;
    return sum * sum / (static_cast<double>(values.size()) * squares);
}

namespace {

struct SecondFigures {
    double jain = 1, jain_by_speed = 1, jain_window = 1, poisson_floor = 1, max_over_mean = 1;
    int live = 0, idle = 0;
};

constexpr int kWindow = 5;  // seconds: Jain's index over a longer window, less of it Poisson's noise

// Over the servers live in second t: requests in it, and over the window of kWindow seconds that ends with
// it.
SecondFigures second_figures(const Recorder& recorder, int t) {
    std::vector<double> load, by_speed, window;
    int idle = 0;
    for (const Recorder::Server& server : recorder.servers()) {
        if (!server.live[static_cast<std::size_t>(t)]) continue;
        const double x = server.requests[static_cast<std::size_t>(t)];
        load.push_back(x);
        by_speed.push_back(x / server.speed);
        double sum = 0;
        for (int s = std::max(0, t - kWindow + 1); s <= t; ++s)
            sum += server.requests[static_cast<std::size_t>(s)];
        window.push_back(sum / server.speed);
        idle += x == 0;
    }
    SecondFigures f;
    f.live = static_cast<int>(load.size());
    f.idle = idle;
    f.jain = jain(load);
    f.jain_by_speed = jain(by_speed);
    f.jain_window = jain(window);
    // Even the fairest random spread has Poisson's noise: with m requests a server, E[x^2] = m^2 + m.
    const double m = load.empty() ? 0 : std::accumulate(load.begin(), load.end(), 0.0) / load.size();
    f.poisson_floor = m > 0 ? m / (m + 1) : 1;
    const double total = std::accumulate(load.begin(), load.end(), 0.0);
    if (total > 0) f.max_over_mean = *std::max_element(load.begin(), load.end()) * load.size() / total;
    return f;
}

void plot(const std::filesystem::path& folder) {
    const std::filesystem::path script = folder / "plot.gp";
    {
        std::ofstream gp(script);
        gp << "set terminal pngcairo size 1200,700 noenhanced\nset datafile separator ','\nset key outside\n"
              "set output 'fleet.png'\nset multiplot layout 2,1 title 'requests per second, and load over "
              "servers'\n"
              "set ylabel 'requests'\nplot 'fleet.csv' using 1:2 with lines title 'served', "
              "'' using 1:3 with lines title 'refused', '' using 1:4 with lines title 'failed', "
              "'' using 1:5 with lines title 'lost', '' using 1:6 with lines title 'unreachable'\n"
              "set ylabel 'index'\nset xlabel 'second'\nset yrange [0:*]\n"
              "plot 'fleet.csv' using 1:7 with lines title 'Jain over live servers', "
              "'' using 1:16 with lines title 'Jain by speed, 5 s', '' using 1:17 with lines title 'Poisson "
              "floor', "
              "'' using 1:8 with lines title 'max/mean', '' using 1:10 with lines title 'idle live servers'\n"
              "unset multiplot\nset output 'servers.png'\nunset key\nset xlabel 'second'\nset ylabel "
              "'server'\n"
              "set title 'requests per server per second'\nset datafile separator whitespace\n"
              "plot 'servers.matrix' matrix with image\n";
    }
    const pid_t pid = ::fork();
    if (pid == 0) {
        if (::chdir(folder.c_str()) != 0) ::_exit(126);
        ::execlp("gnuplot", "gnuplot", "plot.gp", static_cast<char*>(nullptr));
        ::_exit(127);  // no gnuplot: the CSV files stand alone
    }
    int status = 0;
    if (pid > 0) ::waitpid(pid, &status, 0);
}

}  // namespace

nlohmann::json summarize(const Experiment& experiment, const Recorder& recorder) {
    const int from = std::min(recorder.length() - 1, static_cast<int>(std::ceil(experiment.warmup_s)));
    const int to = recorder.length();
    std::vector<double> jains, by_speed, windows, floors, ratios;
    int idle_seconds = 0;
    for (int t = from; t < to; ++t) {
        const SecondFigures f = second_figures(recorder, t);
        jains.push_back(f.jain);
        by_speed.push_back(f.jain_by_speed);
        floors.push_back(f.poisson_floor);
        if (t >= from + kWindow - 1) windows.push_back(f.jain_window);
        ratios.push_back(f.max_over_mean);
        idle_seconds += f.idle > 0;
    }
    std::uint32_t most_first = 0;
    std::vector<double> connections, coverage, requests;
    for (const Recorder::Server& server : recorder.servers()) {
        for (const std::uint32_t n : server.first_senders) most_first = std::max(most_first, n);
        connections.push_back(std::accumulate(server.connections.begin(), server.connections.end(), 0.0));
        requests.push_back(std::accumulate(server.requests.begin() + from, server.requests.end(), 0.0));
        coverage.push_back(static_cast<double>(std::count_if(server.last_sender_second.begin(),
                                                             server.last_sender_second.end(),
                                                             [&](std::int32_t s) { return s >= from; })));
    }
    std::uint64_t totals[kOutcomeCount] = {};
    int silent_sidecars = 0;
    for (const Recorder::Sidecar& sidecar : recorder.sidecars()) {
        for (int o = 0; o < kOutcomeCount; ++o) totals[o] += sidecar.outcomes[o];
        silent_sidecars += sidecar.outcomes[static_cast<int>(Outcome::served)] == 0;
    }
    std::uint64_t calls = 0, datagrams = 0, bytes = 0, dropped = 0;
    for (const Recorder::Second& s : recorder.seconds()) {
        calls += s.discovery_calls;
        datagrams += s.datagrams;
        bytes += s.datagram_bytes;
        dropped += s.datagrams_dropped;
    }
    nlohmann::json outcomes;
    std::uint64_t all = 0;
    for (int o = 0; o < kOutcomeCount; ++o) {
        outcomes[outcome_name(static_cast<Outcome>(o))] = totals[o];
        all += totals[o];
    }
    nlohmann::json classes = nlohmann::json::array();
    for (std::size_t i = 0; i < recorder.classes().size(); ++i) {
        const auto& of = recorder.classes()[i].outcomes;
        const std::uint64_t asked = std::accumulate(std::begin(of), std::end(of), std::uint64_t{0});
        classes.push_back(
            {{"name", experiment.classes[i].name},
             {"requests", asked},
             {"served_share", asked ? static_cast<double>(of[0]) / static_cast<double>(asked) : 1.0}});
    }
    const double measured = to - from;
    const double seconds = recorder.length();
    const auto mean = [](const std::vector<double>& v) {
        return v.empty() ? 0.0 : std::accumulate(v.begin(), v.end(), 0.0) / static_cast<double>(v.size());
    };
    return {
        {"experiment", experiment.name},
        {"seed", experiment.seed},
        {"sidecars", experiment.sidecars},
        {"servers", experiment.servers},
        {"seconds_measured", measured},
        {"requests", all},
        {"outcomes", outcomes},
        {"served_share", all ? static_cast<double>(totals[0]) / static_cast<double>(all) : 0.0},
        {"classes", classes},
        {"sidecars_that_served_nothing", silent_sidecars},
        {"load",
         {{"jain_mean", mean(jains)},
          {"jain_p10", percentile(jains, 0.1)},
          {"jain_min", jains.empty() ? 1.0 : *std::min_element(jains.begin(), jains.end())},
          {"jain_poisson_floor_mean", mean(floors)},
          {"jain_by_speed_mean", mean(by_speed)},
          {"jain_by_speed_5s_mean", mean(windows)},
          {"max_over_mean_mean", mean(ratios)},
          {"max_over_mean_max", ratios.empty() ? 1.0 : *std::max_element(ratios.begin(), ratios.end())},
          {"seconds_with_an_idle_live_server", idle_seconds},
          {"requests_per_server_min",
           requests.empty() ? 0.0 : *std::min_element(requests.begin(), requests.end())},
          {"requests_per_server_max",
           requests.empty() ? 0.0 : *std::max_element(requests.begin(), requests.end())},
          {"jain_over_servers_whole_run", jain(requests)}}},
        {"cold_servers", {{"most_first_senders_in_one_second", most_first}}},
        {"connections_per_server",
         {{"mean", mean(connections)},
          {"max", connections.empty() ? 0.0 : *std::max_element(connections.begin(), connections.end())}}},
        {"sidecars_per_server",
         {{"mean", mean(coverage)},
          {"min", coverage.empty() ? 0.0 : *std::min_element(coverage.begin(), coverage.end())},
          {"max", coverage.empty() ? 0.0 : *std::max_element(coverage.begin(), coverage.end())}}},
        {"discovery_calls_per_second", calls / seconds},
        {"datagrams",
         {{"per_second_per_sidecar", datagrams / seconds / experiment.sidecars},
          {"bytes_per_second_per_sidecar", bytes / seconds / experiment.sidecars},
          {"dropped", dropped}}},
    };
}

nlohmann::json write_report(const std::filesystem::path& folder, const Experiment& experiment,
                            const Recorder& recorder, const nlohmann::json& extra) {
    std::filesystem::create_directories(folder);
    nlohmann::json summary = summarize(experiment, recorder);
    summary.update(extra);
    std::ofstream(folder / "summary.json") << summary.dump(2) << "\n";
    {
        std::ofstream csv(folder / "fleet.csv");
        csv << "second,served,refused,failed,lost,unreachable,jain,max_over_mean,live_servers,idle_live_"
               "servers,"
               "discovery_calls,datagrams,datagram_bytes,datagrams_dropped,jain_by_speed,jain_by_speed_5s,"
               "jain_poisson_floor\n";
        for (int t = 0; t < recorder.length(); ++t) {
            const Recorder::Second& s = recorder.seconds()[static_cast<std::size_t>(t)];
            const SecondFigures f = second_figures(recorder, t);
            csv << t;
            for (const std::uint64_t n : s.outcomes) csv << ',' << n;
            csv << ',' << f.jain << ',' << f.max_over_mean << ',' << f.live << ',' << f.idle << ','
                << s.discovery_calls << ',' << s.datagrams << ',' << s.datagram_bytes << ','
                << s.datagrams_dropped << ',' << f.jain_by_speed << ',' << f.jain_window << ','
                << f.poisson_floor << '\n';
        }
    }
    {
        std::ofstream csv(folder / "servers.csv");
        std::ofstream matrix(folder / "servers.matrix");
        csv << "second,server,requests,connections,first_senders,live\n";
        for (std::size_t i = 0; i < recorder.servers().size(); ++i) {
            const Recorder::Server& server = recorder.servers()[i];
            for (int t = 0; t < recorder.length(); ++t) {
                const auto at = static_cast<std::size_t>(t);
                csv << t << ',' << i << ',' << server.requests[at] << ',' << server.connections[at] << ','
                    << server.first_senders[at] << ',' << int{server.live[at]} << '\n';
                matrix << server.requests[at] << (t + 1 < recorder.length() ? ' ' : '\n');
            }
        }
    }
    {
        // How each sidecar spreads its requests over the servers it uses: the pairs that saw any.
        std::ofstream csv(folder / "pairs.csv");
        csv << "server,sidecar,requests\n";
        for (std::size_t i = 0; i < recorder.servers().size(); ++i) {
            const auto& from = recorder.servers()[i].from_sidecar;
            for (std::size_t j = 0; j < from.size(); ++j)
                if (from[j] > 0) csv << i << ',' << j << ',' << from[j] << '\n';
        }
    }
    {
        std::ofstream csv(folder / "sidecars.csv");
        csv << "sidecar,served,refused,failed,lost,unreachable,mean_served_ms\n";
        for (std::size_t i = 0; i < recorder.sidecars().size(); ++i) {
            const Recorder::Sidecar& s = recorder.sidecars()[i];
            csv << i;
            for (const std::uint64_t n : s.outcomes) csv << ',' << n;
            const auto served = s.outcomes[static_cast<int>(Outcome::served)];
            csv << ',' << (served ? s.latency_sum_ms / static_cast<double>(served) : 0.0) << '\n';
        }
    }
    plot(folder);
    return summary;
}

}  // namespace ochregrade::lab
