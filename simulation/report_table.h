// A run's report as text tables.
#pragma once
#include <string>

#include "simulation/run_report.h"

namespace whinpost::simulation {

std::string to_table(const RunReport&);

// Formats a number with `digits` decimal places, and kNever as "never".
std::string format_number(double value, int digits = 3);

}  // namespace whinpost::simulation
