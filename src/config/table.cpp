#include "config/table.h"

#include <cmath>
#include <optional>
#include <sstream>

#include "config/document_state.h"
#include "net/socket_address.h"

namespace whinpost::config {

namespace {

const toml::table* as_table(const void* node) { return static_cast<const toml::table*>(node); }
const toml::node* as_node(const void* node) { return static_cast<const toml::node*>(node); }

std::string format_number(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

}  // namespace

bool Table::has(std::string_view key) const { return table_ && as_table(table_)->contains(key); }

const void* Table::find(std::string_view key) {
    const toml::node* node = table_ ? as_table(table_)->get(key) : nullptr;
    if (node) document_->read_nodes.insert(node);
    return node;
}

const void* Table::find_required(std::string_view key) {
    const void* node = find(key);
    if (!node) add_error(key, "is missing");
    return node;
}

void Table::add_error(std::string_view key, std::string_view problem) {
    const toml::table* table = as_table(table_);
    const toml::node* node = table ? table->get(key) : nullptr;
    std::uint32_t line = 0;
    if (node) line = node->source().begin.line;
    else if (table) line = table->source().begin.line;
    document_->add_error(line, join_path(path_, key), problem);
}

Table Table::table(std::string_view key) {
    const toml::node* node = as_node(find(key));
    if (node && !node->is_table()) add_error(key, "must be a table");
    return Table(document_, node ? node->as_table() : nullptr, join_path(path_, key));
}

std::vector<Table> Table::tables(std::string_view key) {
    const toml::node* node = as_node(find(key));
    if (!node) return {};
    const toml::array* list = node->as_array();
    if (!list) {
        add_error(key, "must be a list of tables ([[...]])");
        return {};
    }
    std::vector<Table> tables;
    const std::string path = join_path(path_, key);
    for (std::size_t i = 0; i < list->size(); ++i) {
        document_->read_nodes.insert(list->get(i));
        const toml::table* element = list->get(i)->as_table();
        if (element) tables.push_back(Table(document_, element, element_path(path, i)));
        else add_error(key, "must hold tables only");
    }
    return tables;
}

std::string Table::string(std::string_view key) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return "";
    if (const auto* value = node->as_string(); value && !value->get().empty()) return value->get();
    add_error(key, "must be a text in quotes, and not empty");
    return "";
}

std::string Table::string(std::string_view key, std::string_view fallback) {
    return has(key) ? string(key) : std::string(fallback);
}

double Table::number(std::string_view key, double min, double max) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return min;
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && std::isfinite(*value) && *value >= min && *value <= max) return *value;
    add_error(key, "must be a number from " + format_number(min) + " to " + format_number(max));
    return min;
}

double Table::number(std::string_view key, double min, double max, double fallback) {
    return has(key) ? number(key, min, max) : fallback;
}

std::int64_t Table::integer(std::string_view key, std::int64_t min, std::int64_t max) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return min;
    const auto* value = node->as_integer();
    if (value && value->get() >= min && value->get() <= max) return value->get();
    add_error(key, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return min;
}

std::int64_t Table::integer(std::string_view key, std::int64_t min, std::int64_t max, std::int64_t fallback) {
    return has(key) ? integer(key, min, max) : fallback;
}

bool Table::boolean(std::string_view key, bool fallback) {
    const toml::node* node = as_node(find(key));
    if (!node) return fallback;
    if (const auto* value = node->as_boolean()) return value->get();
    add_error(key, "must be true or false");
    return fallback;
}

Nanos Table::duration(std::string_view key, Nanos min, Nanos max) {
    const auto unit = static_cast<double>(key.ends_with("_ms") ? kMillisecond : kSecond);
    return static_cast<Nanos>(number(key, static_cast<double>(min) / unit, static_cast<double>(max) / unit) *
                              unit);
}

Nanos Table::duration(std::string_view key, Nanos min, Nanos max, Nanos fallback) {
    return has(key) ? duration(key, min, max) : fallback;
}

std::size_t Table::choice(std::string_view key, const std::vector<std::string_view>& choices) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return 0;
    const auto* value = node->as_string();
    for (std::size_t i = 0; value && i < choices.size(); ++i)
        if (value->get() == choices[i]) return i;
    std::string expected = "must be one of";
    for (const std::string_view name : choices) expected += " \"" + std::string(name) + "\"";
    add_error(key, expected);
    return 0;
}

std::size_t Table::choice(std::string_view key, const std::vector<std::string_view>& choices,
                          std::size_t fallback) {
    return has(key) ? choice(key, choices) : fallback;
}

std::vector<std::string> Table::strings(std::string_view key) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return {};
    std::vector<std::string> values;
    const toml::array* list = node->as_array();
    for (std::size_t i = 0; list && i < list->size(); ++i) {
        const auto* value = list->get(i)->as_string();
        if (!value || value->get().empty()) {
            add_error(key, "must hold texts in quotes only");
            return values;
        }
        values.push_back(value->get());
    }
    if (values.empty()) add_error(key, "must be a list of one text or more");
    return values;
}

std::string Table::address(std::string_view key) {
    std::string value = string(key);
    if (!value.empty() && !net::parse_socket_address(value))
        add_error(key, "must be an IP address and a port, as in \"127.0.0.1:7400\"");
    return value;
}

}  // namespace whinpost::config
