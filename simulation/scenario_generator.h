// A scenario drawn from ranges: a fleet, its load, and some troubles at once. The same text for the same
// seed.
#pragma once
#include <cstdint>
#include <string>

namespace whinpost::simulation {

// TOML that can be played. `big`: fleets of a deployment's size, else ones that play in a moment.
std::string generate_scenario(std::uint64_t seed, bool big = false);

}  // namespace whinpost::simulation
