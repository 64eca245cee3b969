#include "lab/figures.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ochregrade::lab {

namespace {

double sum(const std::vector<double>& values) { return std::accumulate(values.begin(), values.end(), 0.0); }

// Requests to a server in the window that ends with `second`.
double window_requests(const Recorder::Server& server, int second) {
    double requests = 0;
    for (int i = std::max(0, second - kWindowSeconds + 1); i <= second; ++i)
        requests += server.requests[static_cast<std::size_t>(i)];
    return requests;
}

SecondFigures figures_of_second(const Recorder& recorder, int second) {
    std::vector<double> load;
    std::vector<double> load_by_speed;
    std::vector<double> window_by_speed;
    SecondFigures figures;
    for (const Recorder::Server& server : recorder.servers()) {
        if (server.live[static_cast<std::size_t>(second)] == 0) continue;
        const double requests = server.requests[static_cast<std::size_t>(second)];
        load.push_back(requests);
        load_by_speed.push_back(requests / server.speed);
        window_by_speed.push_back(window_requests(server, second) / server.speed);
        figures.idle += requests == 0 ? 1 : 0;
    }
    figures.live = static_cast<int>(load.size());
    figures.jain = jain(load);
    figures.jain_by_speed = jain(load_by_speed);
    figures.jain_window = jain(window_by_speed);
    const auto servers = static_cast<double>(load.size());
    const double total = sum(load);
    // Even the fairest random spread has Poisson's noise: with m requests a server, E[x^2] = m^2 + m.
    const double m = load.empty() ? 0 : total / servers;
    figures.poisson_floor = m > 0 ? m / (m + 1) : 1;
    if (total > 0) figures.max_over_mean = largest(load, 0) * servers / total;
    return figures;
}

}  // namespace

double jain(const std::vector<double>& values) {
    double total = 0;
    double squares = 0;
    for (const double value : values) {
        total += value;
        squares += value * value;
    }
    if (values.empty() || squares == 0) return 1;
    return total * total / (static_cast<double>(values.size()) * squares);
}

double percentile(std::vector<double> values, double p) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(p * static_cast<double>(values.size())));
    const std::size_t index = rank - (p > 0 ? 1 : 0);
    return values[std::min(index, values.size() - 1)];
}

double mean(const std::vector<double>& values) {
    return values.empty() ? 0.0 : sum(values) / static_cast<double>(values.size());
}

double smallest(const std::vector<double>& values, double fallback) {
    return values.empty() ? fallback : *std::min_element(values.begin(), values.end());
}

double largest(const std::vector<double>& values, double fallback) {
    return values.empty() ? fallback : *std::max_element(values.begin(), values.end());
}

std::vector<SecondFigures> figures_by_second(const Recorder& recorder) {
    std::vector<SecondFigures> figures;
    figures.reserve(static_cast<std::size_t>(recorder.length()));
    for (int second = 0; second < recorder.length(); ++second)
        figures.push_back(figures_of_second(recorder, second));
    return figures;
}

}  // namespace ochregrade::lab
