// What the platform tells a placer at its start: variables and one JSON file, read and checked whole.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace whinpost::platform {

struct BootstrapError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The file as read; each getter checks its own key and throws Wrong or terms::Wrong, which name file and key.
class BootstrapConfig {
public:
    static BootstrapConfig read(const std::string& path);
    static BootstrapConfig parse(std::string_view text, const std::string& path);

    const std::string& listen() const { return listen_; }
    std::uint64_t seed() const { return seed_; }
    std::size_t sockets() const { return sockets_; }
    const std::string& bus() const { return bus_; }
    std::int64_t offset() const { return offset_; }
    const std::vector<std::string>& known() const { return known_; }  // events, each as JSON
    const settings::Settings& settings() const { return settings_; }

private:
    explicit BootstrapConfig(std::string path) : settings_(std::move(path)) {}
    std::string listen_, bus_;
    std::uint64_t seed_ = 0;
    std::size_t sockets_ = 0;
    std::int64_t offset_ = 0;
    std::vector<std::string> known_;
    settings::Settings settings_;
};

}  // namespace whinpost::platform
