// Parses scenario files (TOML) and validates them before a run starts.
#pragma once
#include <cstddef>
#include <string>
#include <tl/expected.hpp>

#include "config/config_error.h"
#include "emulator/scenario.h"

namespace whinpost::emulator {

// Values that replace those of the file; 0: keep the file's value.
struct ScenarioOverrides {
    std::size_t placers = 0, workers = 0;
};

// `name`: file name used in error messages. On failure returns all errors found.
[[nodiscard]] tl::expected<Scenario, config::ConfigErrors> parse_scenario(const std::string& text,
                                                                          const std::string& name,
                                                                          const ScenarioOverrides& = {});

// The complete configuration file (TOML) of one placer of the scenario.
std::string placer_configuration(const Scenario&, std::size_t placer, const std::string& listen_address,
                                 const std::string& discovery_address);

}  // namespace whinpost::emulator
