// Loads scenarios and their base scenarios; see load_scenario() in rehearsal.h.
#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <string_view>
#include <vector>

#include "simulation/bundled_scenarios.h"
#include "simulation/rehearsal.h"

namespace whinpost::simulation {

namespace {

constexpr std::string_view kLike = "like = \"";

// Splits the text before each line that starts a table. The first part is the text before the first table.
std::vector<std::string> split_tables(const std::string& text) {
    std::vector<std::string> parts(1);
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size() - 1) + 1;
        if (text[at] == '[') parts.emplace_back();
        parts.back() += text.substr(at, end - at);
        at = end;
    }
    return parts;
}

std::string first_line(const std::string& table) { return table.substr(0, table.find('\n')); }

// Returns the name in the line that starts with `like`, or nothing if there is no such line.
std::optional<std::string> base_name(const std::string& preamble) {
    std::size_t at = 0;
    if (preamble.rfind(kLike, 0) != 0) {
        const std::size_t line = preamble.find("\n" + std::string(kLike));
        if (line == std::string::npos) return std::nullopt;
        at = line + 1;
    }
    const std::size_t from = at + kLike.size();
    return preamble.substr(from, preamble.find('"', from) - from);
}

tl::expected<std::string, ScenarioLoadError> add_base(const std::string& text) {
    const std::vector<std::string> own = split_tables(text);
    const std::optional<std::string> name = base_name(own[0]);
    if (!name) return text;
    const auto base = std::find_if(base_scenarios().begin(), base_scenarios().end(),
                                   [&](const BundledScenario& scenario) { return scenario.name == *name; });
    if (base == base_scenarios().end())
        return tl::unexpected(ScenarioLoadError{ScenarioLoadError::Kind::unknown_base, *name});
    std::set<std::string> own_headers;
    for (const std::string& table : own) own_headers.insert(first_line(table));
    std::string whole = text + "\n";
    const std::vector<std::string> inherited = split_tables(base->text);
    for (std::size_t i = 1; i < inherited.size(); ++i)
        if (!own_headers.contains(first_line(inherited[i]))) whole += inherited[i];
    return whole;
}

}  // namespace

std::string to_string(const ScenarioLoadError& error) {
    switch (error.kind) {
        case ScenarioLoadError::Kind::unknown_scenario:
            return error.name + ": neither a bundled scenario (see --list) nor a readable file";
        case ScenarioLoadError::Kind::unknown_base:
            return "like: unknown base scenario \"" + error.name + "\"";
    }
    return "";
}

tl::expected<std::string, ScenarioLoadError> load_scenario(const std::string& name_or_file) {
    for (const BundledScenario& scenario : scenarios())
        if (scenario.name == name_or_file) return add_base(scenario.text);
    std::ifstream in(name_or_file, std::ios::binary);
    if (!in)
        return tl::unexpected(ScenarioLoadError{ScenarioLoadError::Kind::unknown_scenario, name_or_file});
    return add_base({std::istreambuf_iterator<char>(in), {}});
}

}  // namespace whinpost::simulation
