// Private to config/: the state that a document shares with its tables.
#pragma once
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "config/config_error.h"
#include "config/toml.h"

namespace whinpost::config {

struct DocumentState {
    std::string name;
    toml::table root;
    std::set<const toml::node*> read_nodes;
    ConfigErrors errors;

    void add_error(std::uint32_t line, std::string_view key, std::string_view problem) {
        errors.push_back({name, line, std::string(key), std::string(problem)});
    }
};

// The path of `key` in the table at `path`; the root's path is empty.
inline std::string join_path(const std::string& path, std::string_view key) {
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

inline std::string element_path(const std::string& path, std::size_t index) {
    return path + "[" + std::to_string(index) + "]";
}

}  // namespace whinpost::config
