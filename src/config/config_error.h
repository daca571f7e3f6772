// What is wrong with a configuration file.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace whinpost::config {

struct ConfigError {
    std::string file;
    std::uint32_t line = 0;  // 0: not known, or the file as a whole
    std::string key;         // with the tables it stands in, as "placer.zone"; "file": the file as a whole
    std::string problem;     // what was expected

    bool operator==(const ConfigError&) const = default;
};

// As operators read it: "placer.toml:4: placer.zone: must be one of placer.zones".
std::string to_string(const ConfigError&);

using ConfigErrors = std::vector<ConfigError>;

}  // namespace whinpost::config
