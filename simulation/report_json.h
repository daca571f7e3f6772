// A run's report as JSON, for other programs.
#pragma once
#include <string>

#include "simulation/run_report.h"

namespace whinpost::simulation {

std::string to_json(const RunReport&);

}  // namespace whinpost::simulation
