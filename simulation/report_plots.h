// A run's report as files: report.json, and the data and script of its plots.
#pragma once
#include <string>

#include "simulation/run_report.h"

namespace whinpost::simulation {

// Throws std::runtime_error if a file can't be written.
void write_report(const RunReport&, const std::string& dir);

// Runs gnuplot on the files of write_report(). False: nothing was drawn, and gnuplot.log may say why.
[[nodiscard]] bool draw_plots(const std::string& dir);

}  // namespace whinpost::simulation
