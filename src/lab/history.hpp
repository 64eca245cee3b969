/// @file
/// What a run's sidecars wrote in their logs, set against what the lab did to them: when each ejected a
/// faulty server, which healthy ones were ejected, how soon a started sidecar had caught up, and for how long
/// two acted on different versions. Times are Unix milliseconds.
#pragma once

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/sidecar_log.hpp"

namespace ochregrade::lab {

class History {
public:
    /// Takes in an event of the lab's own log (lab.jsonl).
    void add_event(double time_ms, const nlohmann::json& event);
    /// Takes in a sidecar's log.
    void read_log(int sidecar, const std::filesystem::path& path);

    /// Figures of a run with this many servers, for the report's `shared`; times in ms.
    nlohmann::json figures(int servers) const;

private:
    struct Interval {
        double from = 0;
        double to = 0;
    };
    struct Ejection {
        int sidecar = 0;
        double time_ms = 0;
        bool by_quorum = false;
    };
    struct VersionChange {
        double time_ms = 0;
        VersionsInUse versions;
    };
    /// A fault that has begun.
    struct OpenFault {
        double began = 0;
        std::vector<int> servers;
        std::vector<int> sidecars;
    };
    /// A field of VersionsInUse: which kind of version figures are about.
    using VersionField = Version VersionsInUse::*;
    struct EjectionFigures;

    void begin_fault(double time_ms, const nlohmann::json& event);
    void end_fault(double time_ms, int number);
    void add_log_line(int sidecar, const LogLine& line);

    bool was_faulty(int server, double time_ms) const;
    const std::vector<Ejection>& ejections_of(int server) const;
    void count_healthy(int server, EjectionFigures& figures) const;
    void count_faulty(int server, EjectionFigures& figures) const;

    /// From when on a sidecar is expected to act on a version that somebody acted on at `since`: at the end
    /// of faults that it was subject to between `since` and `until`.
    double expected_from(int sidecar, double since, double until) const;
    std::map<Version, double> first_uses(VersionField field) const;
    nlohmann::json version_lags(VersionField field, const std::set<std::uint32_t>& excluded) const;

    std::map<int, OpenFault> open_faults_;                // by the fault's number
    std::map<int, std::vector<Interval>> faulty_;         // by server, faults of their own
    std::vector<std::pair<int, Interval>> unavailable_;   // sidecars killed, stopped or cut off
    std::map<int, std::vector<Ejection>> ejections_;      // by server
    std::map<int, std::vector<VersionChange>> versions_;  // by sidecar
    std::vector<double> catch_up_ms_;
    std::set<std::uint32_t> partial_rollouts_;  // settings epochs for a part of the fleet
    double load_ended_ = 0;
    std::size_t omitted_lines_ = 0;
};

}  // namespace ochregrade::lab
