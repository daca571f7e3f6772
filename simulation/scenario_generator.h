// Generates random scenarios: a fleet, its load and several faults. The same seed gives the same text.
#pragma once
#include <cstdint>
#include <string>

namespace whinpost::simulation {

// Returns the text of a scenario file (TOML). `big`: a fleet of the size of a deployment; otherwise a small
// one that runs quickly.
std::string generate_scenario(std::uint64_t seed, bool big = false);

}  // namespace whinpost::simulation
