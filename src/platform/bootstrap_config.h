// The placer's start-up configuration from the platform: one JSON file, read and checked as a whole.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace whinpost::platform {

// Thrown for an invalid start-up configuration. The text is `SOURCE: KEY PROBLEM`, without the key if the
// problem concerns the whole source.
struct BootstrapError : std::runtime_error {
    // `source`: a file or an environment variable.
    BootstrapError(std::string source, std::string key, std::string problem);
    std::string source, key, problem;
};

class BootstrapConfig {
public:
    // Both throw BootstrapError.
    static BootstrapConfig read(const std::string& path);
    static BootstrapConfig parse(std::string_view text, const std::string& path);

    const std::string& listen() const { return listen_; }
    std::uint64_t seed() const { return seed_; }
    std::size_t descriptors() const { return descriptors_; }  // limit for this process
    const std::string& discovery_address() const { return discovery_address_; }
    // The sequence number of the last initial event.
    std::int64_t last_sequence() const { return last_sequence_; }
    const std::vector<std::string>& initial_events() const { return initial_events_; }  // each as JSON
    // Not checked here: the getters of Settings throw settings::SettingsError, which names the file and the
    // key.
    const settings::Settings& settings() const { return settings_; }

private:
    explicit BootstrapConfig(std::string path) : settings_(std::move(path)) {}
    std::string listen_, discovery_address_;
    std::uint64_t seed_ = 0;
    std::size_t descriptors_ = 0;
    std::int64_t last_sequence_ = 0;
    std::vector<std::string> initial_events_;
    settings::Settings settings_;
};

}  // namespace whinpost::platform
