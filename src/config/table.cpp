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

double Table::number(std::string_view key, double least, double most) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return least;
    const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
    if (value && std::isfinite(*value) && *value >= least && *value <= most) return *value;
    add_error(key, "must be a number from " + format_number(least) + " to " + format_number(most));
    return least;
}

double Table::number(std::string_view key, double least, double most, double fallback) {
    return has(key) ? number(key, least, most) : fallback;
}

std::int64_t Table::integer(std::string_view key, std::int64_t least, std::int64_t most) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return least;
    const auto* value = node->as_integer();
    if (value && value->get() >= least && value->get() <= most) return value->get();
    add_error(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return least;
}

std::int64_t Table::integer(std::string_view key, std::int64_t least, std::int64_t most,
                            std::int64_t fallback) {
    return has(key) ? integer(key, least, most) : fallback;
}

bool Table::boolean(std::string_view key, bool fallback) {
    const toml::node* node = as_node(find(key));
    if (!node) return fallback;
    if (const auto* value = node->as_boolean()) return value->get();
    add_error(key, "must be true or false");
    return fallback;
}

Nanos Table::duration(std::string_view key, Nanos least, Nanos most) {
    const auto unit = static_cast<double>(key.ends_with("_ms") ? kMillisecond : kSecond);
    return static_cast<Nanos>(
        number(key, static_cast<double>(least) / unit, static_cast<double>(most) / unit) * unit);
}

Nanos Table::duration(std::string_view key, Nanos least, Nanos most, Nanos fallback) {
    return has(key) ? duration(key, least, most) : fallback;
}

std::size_t Table::choice(std::string_view key, const std::vector<std::string_view>& words) {
    const toml::node* node = as_node(find_required(key));
    if (!node) return 0;
    const auto* value = node->as_string();
    for (std::size_t i = 0; value && i < words.size(); ++i)
        if (value->get() == words[i]) return i;
    std::string expected = "must be one of";
    for (const std::string_view word : words) expected += " \"" + std::string(word) + "\"";
    add_error(key, expected);
    return 0;
}

std::size_t Table::choice(std::string_view key, const std::vector<std::string_view>& words,
                          std::size_t fallback) {
    return has(key) ? choice(key, words) : fallback;
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
