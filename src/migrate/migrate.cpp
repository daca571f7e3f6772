#include "migrate/migrate.h"

#include <algorithm>
#include <sstream>
#include <string_view>

#include "config/document.h"
#include "config/placer_file.h"
#include "config/toml.h"

namespace whinpost::migrate {

namespace {

// What describes a deployment; of links only the drain grace does.
constexpr std::string_view kLists[] = {"machine_kind", "queue_group"};
constexpr std::string_view kTables[] = {"acceptance", "cold", "launches", "prices"};
constexpr std::string_view kDrainGrace = "drain_grace_ms";

template <std::size_t N>
bool among(const std::string_view (&all)[N], std::string_view key) {
    return std::find(std::begin(all), std::end(all), key) != std::end(all);
}

std::string shown(const toml::node& n) {
    std::ostringstream out;
    n.visit([&out](const auto& v) { out << v; });
    return out.str();
}
std::string at(const NamedText& f, const toml::node& n, const std::string& key) {
    return f.name + ":" + std::to_string(n.source().begin.line) + ": " + key;
}

std::string called(const toml::node& n) { return n.as_table()->at("name").value_or(std::string()); }
const toml::table* named(const toml::array& all, const std::string& name) {
    for (const toml::node& n : all)
        if (called(n) == name) return n.as_table();
    return nullptr;
}

// What is wrong with the shape by itself, in its own lines.
std::vector<std::string> wrong_with(const NamedText& shape) {
    config::Document d = config::Document::parse(shape.text, shape.name);
    config::Table root = d.root();
    for (const char* key : {"placer", "list", "intake", "log"})
        if (root.has(key)) root.add_problem(key, "is carried from the old file: a shape does not hold it");
    config::queue_groups(root, config::worker_kinds(root).size());
    config::worker_acceptance(root);
    config::slow_start_settings(root);
    config::retry_settings(root);
    config::prices(root);
    config::Table links = root.table("links");
    if (links.has(kDrainGrace)) links.duration(kDrainGrace, 10 * kMillisecond, 3600 * kSecond);
    return d.problems();
}

struct Work {
    const NamedText& old;
    MigrationResult& out;

    // `to` stands in place of `from`.
    void table(const toml::table& from, const toml::table& to, const std::string& path) {
        for (auto&& [key, node] : from) {
            const std::string name = path + "." + std::string(key.str());
            const toml::node* now = to.get(key.str());
            if (!now)
                out.left_behind.push_back(at(old, node, name) + " = " + shown(node) +
                                          ": the shape does not name it, its default holds");
            else if (shown(*now) != shown(node))
                out.replaced.push_back(at(old, node, name) + ": " + shown(node) + " -> " + shown(*now));
        }
        for (auto&& [key, node] : to)
            if (!from.contains(key.str()))
                out.replaced.push_back(path + "." + std::string(key.str()) + ": new, " + shown(node));
    }
    void list(const toml::array& from, const toml::array& to, const std::string& path) {
        for (const toml::node& n : from) {
            const std::string name = path + "." + called(n);
            if (const toml::table* now = named(to, called(n))) table(*n.as_table(), *now, name);
            else out.left_behind.push_back(at(old, n, name) + ": the shape has none of this name");
        }
        for (const toml::node& n : to)
            if (!named(from, called(n))) out.replaced.push_back(path + "." + called(n) + ": new");
    }
};

}  // namespace

MigrationResult migrate_configuration(const NamedText& old, const NamedText& shape,
                                      const std::string& new_name) {
    MigrationResult out;
    config::Document before = config::Document::parse(old.text, old.name);
    out.problems = config::check(before);
    for (std::string& p : wrong_with(shape)) out.problems.push_back(std::move(p));
    if (!out.problems.empty()) return out;

    toml::table all = toml::parse(old.text);
    const toml::table to = toml::parse(shape.text);
    Work work{old, out};
    for (auto&& [key, node] : all) {
        const std::string name(key.str());
        const toml::node* now = to.get(name);
        if (now && among(kLists, name)) work.list(*node.as_array(), *now->as_array(), name);
        else if (now && among(kTables, name)) work.table(*node.as_table(), *now->as_table(), name);
        else
            out.carried.push_back(at(old, node, name) + (now ? ", but for " + std::string(kDrainGrace) : ""));
    }
    for (auto&& [key, node] : to) {
        const std::string name(key.str());
        if (name != "links") {
            if (!all.contains(name)) out.replaced.push_back(name + ": new");
            all.insert_or_assign(name, node);
            continue;
        }
        const toml::node* grace = node.as_table()->get(kDrainGrace);
        if (!grace) continue;
        if (!all.contains("links")) all.insert("links", toml::table{});
        toml::table& links = *all["links"].as_table();
        const toml::node* stood = links.get(kDrainGrace);
        out.replaced.push_back("links." + std::string(kDrainGrace) + ": " +
                               (stood ? shown(*stood) : "the default") + " -> " + shown(*grace));
        links.insert_or_assign(kDrainGrace, *grace);
    }
    std::ostringstream text;
    text << "# Written by whinpost migrate: what describes the deployment is from " << shape.name
         << ", all else from " << old.name << ".\n\n"
         << toml::toml_formatter(all) << "\n";
    config::Document after = config::Document::parse(text.str(), new_name);
    out.problems = config::check(after);
    if (out.problems.empty()) out.text = text.str();
    return out;
}

}  // namespace whinpost::migrate
