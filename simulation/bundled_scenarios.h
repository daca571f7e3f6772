// The scenarios that are built into the program (from simulation/scenarios/).
#pragma once
#include <string>
#include <vector>

namespace whinpost::simulation {

struct BundledScenario {
    std::string name, text;
};
const std::vector<BundledScenario>& scenarios();  // sorted by name
// The scenarios that others may extend with `like` (from simulation/scenarios/base/).
const std::vector<BundledScenario>& base_scenarios();

}  // namespace whinpost::simulation
