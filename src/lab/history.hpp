// What a run's sidecars said in their logs, set against what the lab did to them: when each learnt of a bad
// server, which sound ones were removed, and how soon a started one had caught up.
#pragma once

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ochregrade::lab {

// A line of a sidecar's log. Times are Unix milliseconds.
struct Line {
    double at = 0;
    std::string text;
};
// Reads one JSON line; none where it is no line of a sidecar's.
std::optional<Line> read_line(const std::string& json);

class History {
public:
    // What the lab did: an event of its own log (lab.jsonl).
    void happened(double at_ms, const nlohmann::json& event);
    void read_log(int sidecar, const std::filesystem::path& path);
    void said(int sidecar, const Line& line);

    // Figures of a run with so many servers; times in ms.
    nlohmann::json figures(int servers) const;

private:
    struct Span {
        double from = 0, to = 0;
    };
    struct Removal {
        int sidecar = 0;
        double at = 0;
        bool hearsay = false;
    };
    struct Acts {  // on versions, from then on
        double at = 0;
        std::pair<std::uint32_t, std::uint32_t> settings, list;
    };
    bool bad(int server, double at) const;
    // From when on a sidecar can be held to a version that somebody acted on from `since`, and the end of the
    // run.
    double held_from(int sidecar, double since, double until) const;
    nlohmann::json lags(bool of_lists) const;

    std::map<int, std::vector<Span>> bad_;          // servers, while a fault of their own was on
    std::map<int, Span> open_;                      // by the fault's number
    std::map<int, std::vector<int>> open_servers_;  // by the same
    std::map<int, std::vector<Removal>> removals_;  // by server
    std::vector<double> catch_up_;
    std::vector<std::pair<int, Span>> away_;  // sidecars killed or stopped
    std::map<int, std::vector<int>> open_sidecars_;
    std::map<int, std::vector<Acts>> acts_;  // by sidecar
    std::set<std::uint32_t> staged_;         // epochs for a part of the fleet
    double over_ = 0;                        // when load ended
    std::size_t left_out_ = 0;
};

// The value that a share p of all is no greater than; 0 of none.
double percentile(std::vector<double> values, double p);

}  // namespace ochregrade::lab
