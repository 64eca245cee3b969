/// @file
/// The report of a run: a summary in JSON, series in CSV and plots, in one folder. docs/LAB.md describes
/// them.
#pragma once

#include <filesystem>
#include <nlohmann/json.hpp>

#include "lab/experiment.hpp"
#include "lab/recorder.hpp"

namespace ochregrade::lab {

/// Writes summary.json (with `extra` merged in), fleet.csv, servers.csv, servers.matrix, pairs.csv,
/// sidecars.csv and the plots into `folder`, which it creates. Returns the summary as written.
nlohmann::json write_report(const std::filesystem::path& folder, const Experiment& experiment,
                            const Recorder& recorder, const nlohmann::json& extra);

}  // namespace ochregrade::lab
