// A scenario drawn from ranges: a fleet, its load, and some faults at once. The same text for the same seed.
#pragma once
#include <cstdint>
#include <string>

namespace whinpost::simulation {

// A scenario file (TOML). `big`: a fleet of a deployment's size, else one that runs in a moment.
std::string generate_scenario(std::uint64_t seed, bool big = false);

}  // namespace whinpost::simulation
