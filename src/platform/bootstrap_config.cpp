#include "platform/bootstrap_config.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace whinpost::platform {
namespace {

using Json = nlohmann::json;

std::string plain(const Json& v) {
    if (v.is_string()) return v.get<std::string>();
    if (v.is_null()) return "-";
    return v.dump();
}

// Nested JSON to the paths of the simulator's first message.
void flatten(const Json& v, const std::string& path, settings::Settings& out) {
    const std::string under = path.empty() ? path : path + ".";
    if (v.is_object()) {
        for (const auto& [key, value] : v.items()) flatten(value, under + key, out);
    } else if (v.is_array() && !v.empty() && v[0].is_object()) {
        out.put(under + "count", std::to_string(v.size()));
        for (std::size_t i = 0; i < v.size(); ++i) flatten(v[i], under + std::to_string(i), out);
    } else if (v.is_array()) {
        std::string all;
        for (const Json& each : v) all += (all.empty() ? "" : ",") + plain(each);
        out.put(path, all);
    } else out.put(path, plain(v));
}

[[noreturn]] void wrong(const std::string& path, std::string_view key, std::string_view what) {
    throw BootstrapError(path + ": " + std::string(key) + " " + std::string(what));
}
std::string address(const Json& at, const char* key, const std::string& path) {
    const auto it = at.find(key);
    if (it == at.end() || !it->is_string() || it->get<std::string>().find(':') == std::string::npos)
        wrong(path, key, "is not an address and a port");
    return it->get<std::string>();
}

}  // namespace

BootstrapConfig BootstrapConfig::read(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in || text.empty()) throw BootstrapError(path + ": can't be read");
    return parse(text, path);
}

BootstrapConfig BootstrapConfig::parse(std::string_view text, const std::string& path) {
    const Json root = Json::parse(text.begin(), text.end(), nullptr, false);
    if (root.is_discarded() || !root.is_object()) throw BootstrapError(path + ": not a JSON object");
    BootstrapConfig b(path);
    b.listen_ = address(root, "listen", path);
    b.bus_ = address(root, "bus", path);
    const auto seed = root.find("seed");
    if (seed == root.end() || !seed->is_string()) wrong(path, "seed", "is not text of hex digits");
    const auto digits = seed->get<std::string>();
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), b.seed_, 16);
    if (error != std::errc{} || end != digits.data() + digits.size())
        wrong(path, "seed", "is not text of hex digits");
    const auto limits = root.find("limits");
    if (limits == root.end() || !limits->is_object()) wrong(path, "limits", "is missing");
    const auto sockets = limits->find("sockets");
    if (sockets == limits->end() || !sockets->is_number_integer() || sockets->get<std::int64_t>() < 32 ||
        sockets->get<std::int64_t>() > 10'000'000)
        wrong(path, "limits.sockets", "is not a whole number from 32 on");
    b.sockets_ = sockets->get<std::size_t>();
    if (const auto known = root.find("known"); known != root.end() && known->is_object()) {
        const auto offset = known->find("offset");
        if (offset == known->end() || !offset->is_number_integer())
            wrong(path, "known.offset", "is not a whole number");
        b.offset_ = offset->get<std::int64_t>();
        const auto batch = known->find("batch");
        if (batch == known->end() || !batch->is_array()) wrong(path, "known.batch", "is not a list");
        for (const Json& e : *batch) b.known_.push_back(e.is_string() ? e.get<std::string>() : e.dump());
    }
    const auto settings = root.find("settings");
    if (settings == root.end() || !settings->is_object()) wrong(path, "settings", "is missing");
    flatten(*settings, "", b.settings_);
    return b;
}

}  // namespace whinpost::platform
