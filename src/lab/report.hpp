// What a lab run shows: a summary in JSON, series in CSV and plots, in a folder that a person can open.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>

#include "lab/experiment.hpp"
#include "lab/record.hpp"

namespace ochregrade::lab {

// Jain's fairness index of `values`: (sum x)^2 / (n sum x^2), 1 when all are equal, 1/n when one has all.
// 1 where all are zero (nothing to be unfair about); `values` may be empty (also 1).
double jain(const std::vector<double>& values);

// The figures of a run from its counts, over the seconds after the warm-up: load over live servers (Jain's
// index, max/mean, seconds in which a live server got nothing), first senders to cold servers, connections,
// coverage (distinct sidecars per server), outcomes per sidecar, datagrams and discovery calls.
nlohmann::json summarize(const Experiment& experiment, const Recorder& recorder);

// Writes summary.json (with `extra` merged in), fleet.csv, servers.csv, sidecars.csv, and, where gnuplot is
// on the PATH, fleet.png and servers.png, into `folder`. Returns the summary as written.
nlohmann::json write_report(const std::filesystem::path& folder, const Experiment& experiment,
                            const Recorder& recorder, const nlohmann::json& extra);

}  // namespace ochregrade::lab
