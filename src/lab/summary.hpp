/// @file
/// The summary of a run: its figures over the seconds after the warm-up, as JSON. docs/LAB.md describes the
/// keys.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/figures.hpp"
#include "lab/recorder.hpp"

namespace ochregrade::lab {

/// `seconds`: figures_by_second(recorder).
nlohmann::json summarize(const Experiment& experiment, const Recorder& recorder,
                         const std::vector<SecondFigures>& seconds);

}  // namespace ochregrade::lab
