// Errors in a configuration file.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace whinpost::config {

struct ConfigError {
    std::string file;
    std::uint32_t line = 0;  // 0: unknown, or the error concerns the whole file
    std::string key;         // with the enclosing tables, as "placer.zone"; "file": the whole file
    std::string problem;     // what is wrong, and which value is expected

    bool operator==(const ConfigError&) const = default;
};

// The text for operators: "placer.toml:4: placer.zone: must be one of placer.zones".
std::string to_string(const ConfigError&);

using ConfigErrors = std::vector<ConfigError>;

}  // namespace whinpost::config
