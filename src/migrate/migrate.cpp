#include "migrate/migrate.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <string_view>

#include "config/document.h"
#include "config/placer_file.h"
#include "config/toml.h"

namespace whinpost::migrate {

namespace {

// The keys that describe a deployment's shape. Of [links] only drain_grace_ms belongs to the shape.
constexpr std::string_view kShapeLists[] = {"machine_kind", "queue_group"};
constexpr std::string_view kShapeTables[] = {"acceptance", "cold", "launches", "prices"};
constexpr std::string_view kLinks = "links";
constexpr std::string_view kDrainGrace = "drain_grace_ms";

template <std::size_t N>
bool contains(const std::string_view (&all)[N], std::string_view key) {
    return std::find(std::begin(all), std::end(all), key) != std::end(all);
}

std::string to_text(const toml::node& node) {
    std::ostringstream out;
    node.visit([&out](const auto& value) { out << value; });
    return out.str();
}

std::string name_of(const toml::node& table) { return table.as_table()->at("name").value_or(std::string()); }

const toml::table* find_by_name(const toml::array& tables, const std::string& name) {
    for (const toml::node& table : tables)
        if (name_of(table) == name) return table.as_table();
    return nullptr;
}

// Checks the shape file separately, so that errors refer to the lines of that file.
config::ConfigErrors check_shape(const NamedText& shape) {
    config::Document document = config::Document::parse(shape.text, shape.name);
    config::Table root = document.root();
    for (const char* key : {"placer", "list", "intake", "log"})
        if (root.has(key)) root.add_error(key, "is carried from the old file: a shape does not hold it");
    config::queue_groups(root, config::worker_kinds(root).size());
    config::worker_acceptance(root);
    config::slow_start_settings(root);
    config::retry_settings(root);
    config::prices(root);
    config::Table links = root.table(kLinks);
    if (links.has(kDrainGrace)) links.duration(kDrainGrace, 10 * kMillisecond, 3600 * kSecond);
    return document.take_errors();
}

// Merges a shape into an old file and records for each key whether it was carried, replaced or left behind.
// Both files must have passed their checks.
class Migration {
public:
    Migration(const NamedText& old, MigrationResult& result) : old_(old), result_(result) {}

    // `merged` must hold the old file; it is changed in place.
    void merge(toml::table& merged, const toml::table& shape) {
        classify_old_tables(merged, shape);
        for (auto&& [key, node] : shape) {
            const std::string name(key.str());
            if (name == kLinks) {
                merge_drain_grace(merged, *node.as_table());
                continue;
            }
            if (!merged.contains(name)) result_.replaced.push_back(name + ": new");
            merged.insert_or_assign(name, node);
        }
    }

private:
    std::string position(const toml::node& node, const std::string& key) const {
        return old_.name + ":" + std::to_string(node.source().begin.line) + ": " + key;
    }

    void classify_old_tables(const toml::table& from, const toml::table& shape) {
        for (auto&& [key, node] : from) {
            const std::string name(key.str());
            const toml::node* replacement = shape.get(name);
            if (replacement && contains(kShapeLists, name))
                compare_lists(*node.as_array(), *replacement->as_array(), name);
            else if (replacement && contains(kShapeTables, name))
                compare_tables(*node.as_table(), *replacement->as_table(), name);
            else
                result_.carried.push_back(position(node, name) +
                                          (replacement ? ", but for " + std::string(kDrainGrace) : ""));
        }
    }

    void compare_tables(const toml::table& from, const toml::table& replacement, const std::string& path) {
        for (auto&& [key, node] : from) {
            const std::string name = path + "." + std::string(key.str());
            const toml::node* value = replacement.get(key.str());
            if (!value)
                result_.left_behind.push_back(position(node, name) + " = " + to_text(node) +
                                              ": the shape does not name it, its default holds");
            else if (to_text(*value) != to_text(node))
                result_.replaced.push_back(position(node, name) + ": " + to_text(node) + " -> " +
                                           to_text(*value));
        }
        for (auto&& [key, node] : replacement)
            if (!from.contains(key.str()))
                result_.replaced.push_back(path + "." + std::string(key.str()) + ": new, " + to_text(node));
    }

    void compare_lists(const toml::array& from, const toml::array& replacement, const std::string& path) {
        for (const toml::node& node : from) {
            const std::string name = path + "." + name_of(node);
            const toml::table* table = find_by_name(replacement, name_of(node));
            if (table) compare_tables(*node.as_table(), *table, name);
            else result_.left_behind.push_back(position(node, name) + ": the shape has none of this name");
        }
        for (const toml::node& node : replacement)
            if (!find_by_name(from, name_of(node)))
                result_.replaced.push_back(path + "." + name_of(node) + ": new");
    }

    void merge_drain_grace(toml::table& merged, const toml::table& shape_links) {
        const toml::node* grace = shape_links.get(kDrainGrace);
        if (!grace) return;
        if (!merged.contains(kLinks)) merged.insert(kLinks, toml::table{});
        toml::table& links = *merged[kLinks].as_table();
        const toml::node* before = links.get(kDrainGrace);
        result_.replaced.push_back("links." + std::string(kDrainGrace) + ": " +
                                   (before ? to_text(*before) : "the default") + " -> " + to_text(*grace));
        links.insert_or_assign(kDrainGrace, *grace);
    }

    const NamedText& old_;
    MigrationResult& result_;
};

}  // namespace

MigrationResult migrate_configuration(const NamedText& old, const NamedText& shape,
                                      const std::string& new_name) {
    MigrationResult result;
    config::Document before = config::Document::parse(old.text, old.name);
    result.errors = config::check(before);
    for (config::ConfigError& error : check_shape(shape)) result.errors.push_back(std::move(error));
    if (!result.errors.empty()) return result;

    toml::table merged = toml::parse(old.text);
    Migration(old, result).merge(merged, toml::parse(shape.text));
    std::ostringstream text;
    text << "# Written by whinpost migrate: what describes the deployment is from " << shape.name
         << ", all else from " << old.name << ".\n\n"
         << toml::toml_formatter(merged) << "\n";
    config::Document after = config::Document::parse(text.str(), new_name);
    result.errors = config::check(after);
    if (result.errors.empty()) result.text = text.str();
    return result;
}

}  // namespace whinpost::migrate
