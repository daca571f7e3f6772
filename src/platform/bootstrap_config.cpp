#include "platform/bootstrap_config.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace whinpost::platform {
namespace {

using Json = nlohmann::json;

constexpr const char* kNotHex = "is not a string of hexadecimal digits";
constexpr std::int64_t kMinSockets = 32, kMaxSockets = 10'000'000;

std::string plain_text(const Json& value) {
    if (value.is_string()) return value.get<std::string>();
    if (value.is_null()) return "-";
    return value.dump();
}

// Flattens nested JSON to the dotted keys of the simulator's first message.
void flatten(const Json& value, const std::string& path, settings::Settings& settings) {
    const std::string prefix = path.empty() ? path : path + ".";
    if (value.is_object()) {
        for (const auto& [key, member] : value.items()) flatten(member, prefix + key, settings);
    } else if (value.is_array() && !value.empty() && value[0].is_object()) {
        settings.put(prefix + "count", std::to_string(value.size()));
        for (std::size_t i = 0; i < value.size(); ++i)
            flatten(value[i], prefix + std::to_string(i), settings);
    } else if (value.is_array()) {
        std::string list;
        for (const Json& element : value) list += (list.empty() ? "" : ",") + plain_text(element);
        settings.put(path, list);
    } else settings.put(path, plain_text(value));
}

// Reads the members of one JSON object. Errors name the file and the member's full path.
class ObjectReader {
public:
    ObjectReader(const Json& object, std::string file, std::string prefix = "")
        : object_(object), file_(std::move(file)), prefix_(std::move(prefix)) {}

    bool has_object(const char* key) const {
        const Json* value = find(key);
        return value && value->is_object();
    }
    const Json& object(const char* key) const {
        const Json* value = find(key);
        if (!value || !value->is_object()) fail(key, "is missing");
        return *value;
    }
    const Json& list(const char* key) const {
        const Json* value = find(key);
        if (!value || !value->is_array()) fail(key, "is not a list");
        return *value;
    }
    std::string address(const char* key) const {
        const Json* value = find(key);
        if (!value || !value->is_string() || value->get<std::string>().find(':') == std::string::npos)
            fail(key, "is not an address and a port");
        return value->get<std::string>();
    }
    std::uint64_t hex_number(const char* key) const {
        const Json* value = find(key);
        if (!value || !value->is_string()) fail(key, kNotHex);
        const auto digits = value->get<std::string>();
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
        if (error != std::errc{} || end != digits.data() + digits.size()) fail(key, kNotHex);
        return number;
    }
    std::int64_t whole_number(const char* key) const {
        const Json* value = find(key);
        if (!value || !value->is_number_integer()) fail(key, "is not a whole number");
        return value->get<std::int64_t>();
    }
    std::size_t socket_count(const char* key) const {
        const Json* value = find(key);
        if (!value || !value->is_number_integer() || value->get<std::int64_t>() < kMinSockets ||
            value->get<std::int64_t>() > kMaxSockets)
            fail(key, "is not a whole number from 32 to 10000000");
        return value->get<std::size_t>();
    }

private:
    const Json* find(const char* key) const {
        const auto it = object_.find(key);
        return it == object_.end() ? nullptr : &*it;
    }
    [[noreturn]] void fail(const char* key, const char* problem) const {
        throw BootstrapError(file_, prefix_ + key, problem);
    }

    const Json& object_;
    const std::string file_, prefix_;
};

std::string error_text(const std::string& source, const std::string& key, const std::string& problem) {
    return source + ": " + (key.empty() ? "" : key + " ") + problem;
}

}  // namespace

BootstrapError::BootstrapError(std::string source, std::string key, std::string problem)
    : std::runtime_error(error_text(source, key, problem)), source(std::move(source)), key(std::move(key)),
      problem(std::move(problem)) {}

BootstrapConfig BootstrapConfig::read(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in || text.empty()) throw BootstrapError(path, "", "can't be read");
    return parse(text, path);
}

BootstrapConfig BootstrapConfig::parse(std::string_view text, const std::string& path) {
    const Json root = Json::parse(text.begin(), text.end(), nullptr, false);
    if (root.is_discarded() || !root.is_object()) throw BootstrapError(path, "", "not a JSON object");
    const ObjectReader file(root, path);
    BootstrapConfig config(path);
    config.listen_ = file.address("listen");
    config.discovery_address_ = file.address("bus");
    config.seed_ = file.hex_number("seed");
    config.descriptors_ = ObjectReader(file.object("limits"), path, "limits.").socket_count("sockets");
    if (file.has_object("known")) {
        const ObjectReader known(file.object("known"), path, "known.");
        config.last_sequence_ = known.whole_number("offset");
        for (const Json& event : known.list("batch"))
            config.initial_events_.push_back(event.is_string() ? event.get<std::string>() : event.dump());
    }
    flatten(file.object("settings"), "", config.settings_);
    return config;
}

}  // namespace whinpost::platform
