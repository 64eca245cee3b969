/// @file
/// Runs of whole experiments with real sidecars, for tests.
#pragma once

#include <spdlog/sinks/null_sink.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "lab/lab.hpp"
#include "temporary_folder.hpp"

namespace ochregrade::lab {

/// Runs the experiment with the report below `folder`/run; returns the summary.
inline nlohmann::json run_in(const TemporaryFolder& folder, const Experiment& experiment) {
    const auto log =
        std::make_shared<spdlog::logger>("test", std::make_shared<spdlog::sinks::null_sink_st>());
    return run_experiment(experiment, {OCHREGRADE_PROGRAM, folder.path() / "run"}, log);
}

}  // namespace ochregrade::lab
