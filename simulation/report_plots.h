// A run's report as files: report.json, and the data files and gnuplot script of its plots.
#pragma once
#include <string>

#include "simulation/run_report.h"

namespace whinpost::simulation {

// Writes the report's files into `dir`. Throws std::runtime_error if a file can't be written.
void write_report(const RunReport&, const std::string& dir);

// Runs gnuplot on the files from write_report(). Returns false if gnuplot could not be run or failed; its
// messages are in gnuplot.log.
[[nodiscard]] bool draw_plots(const std::string& dir);

}  // namespace whinpost::simulation
