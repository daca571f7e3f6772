// A run's report as tables for people.
#pragma once
#include <string>

#include "simulation/run_report.h"

namespace whinpost::simulation {

std::string to_table(const RunReport&);

// A number with so many digits after the point, or "never".
std::string format_number(double value, int digits = 3);

}  // namespace whinpost::simulation
