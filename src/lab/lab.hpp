/// @file
/// One run of an experiment: fakes up, the real sidecars started and ready, load with faults on their
/// schedule, every child ended and reaped, the report written. Bounded in time by the experiment's length.
#pragma once

#include <spdlog/spdlog.h>

#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "lab/experiment.hpp"

namespace ochregrade::lab {

struct RunOptions {
    std::string program;        ///< the sidecar to start, e.g. build/ochregrade
    std::filesystem::path out;  ///< the report's folder; sidecars' configurations and logs are below it
};

/// Returns the summary (as in summary.json). Throws std::runtime_error where the fleet could not be set up;
/// whatever was started is ended and reaped before it returns or throws.
nlohmann::json run_experiment(const Experiment& experiment, const RunOptions& options,
                              std::shared_ptr<spdlog::logger> log);

}  // namespace ochregrade::lab
