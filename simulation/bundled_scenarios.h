// The scenarios that come with the program (simulation/scenarios/).
#pragma once
#include <string>
#include <vector>

namespace whinpost::simulation {

struct BundledScenario {
    std::string name, text;
};
const std::vector<BundledScenario>& scenarios();  // by name
const std::vector<BundledScenario>&
base_scenarios();  // what scenarios may have in common (simulation/scenarios/base/)

}  // namespace whinpost::simulation
