// Scenario files (TOML): read, and checked whole before anything runs.
#pragma once
#include <cstddef>
#include <string>
#include <tl/expected.hpp>

#include "config/config_error.h"
#include "emulator/scenario.h"

namespace whinpost::emulator {

// Numbers that replace the file's own, where they are not 0.
struct ScenarioOverrides {
    std::size_t placers = 0, workers = 0;
};

// `name`: the file's, in errors.
[[nodiscard]] tl::expected<Scenario, config::ConfigErrors> parse_scenario(const std::string& text,
                                                                          const std::string& name,
                                                                          const ScenarioOverrides& = {});

// The whole configuration file of one of the scenario's placers.
std::string placer_configuration(const Scenario&, std::size_t placer, const std::string& listen_address,
                                 const std::string& discovery_address);

}  // namespace whinpost::emulator
