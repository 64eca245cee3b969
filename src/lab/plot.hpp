/// @file
/// Plots of a report.
#pragma once

#include <filesystem>

namespace ochregrade::lab {

/// Draws fleet.png and servers.png from fleet.csv and servers.matrix in `folder`, with gnuplot; writes
/// plot.gp. Without gnuplot on the PATH there are no plots, which is no error.
void plot_report(const std::filesystem::path& folder);

}  // namespace ochregrade::lab
