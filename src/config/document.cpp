#include "config/document.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "config/document_state.h"

namespace whinpost::config {

namespace {

void add_unknown_keys(DocumentState& state, const toml::table& table, const std::string& path) {
    for (auto&& [key, node] : table) {
        const std::string node_path = join_path(path, key.str());
        if (!state.read_nodes.contains(&node)) {
            state.add_error(node.source().begin.line, node_path, "is not a known key");
            continue;
        }
        if (const auto* child = node.as_table()) add_unknown_keys(state, *child, node_path);
        const toml::array* list = node.as_array();
        for (std::size_t i = 0; list && i < list->size(); ++i)
            if (const auto* element = list->get(i)->as_table())
                add_unknown_keys(state, *element, element_path(node_path, i));
    }
}

}  // namespace

std::string to_string(const ConfigError& error) {
    return error.file + ":" + std::to_string(error.line) + ": " + error.key + ": " + error.problem;
}

std::optional<std::string> read_text_file(const std::string& path) {
    std::error_code ignored;
    std::ifstream in(path, std::ios::binary);
    // A directory can be opened like a file, but reading it throws.
    if (!in || std::filesystem::is_directory(path, ignored)) return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

Document::Document(std::unique_ptr<DocumentState> state) : state_(std::move(state)) {}
Document::~Document() = default;
Document::Document(Document&&) noexcept = default;

Document Document::parse(std::string_view text, std::string name) {
    auto state = std::make_unique<DocumentState>();
    state->name = std::move(name);
    try {
        state->root = toml::parse(text);
    } catch (const toml::parse_error& error) {
        state->add_error(error.source().begin.line, "file", error.description());
    } catch (const std::runtime_error& error) {  // TOML_ASSERT in toml.h, which gives no line
        state->add_error(0, "file", error.what());
    }
    return Document(std::move(state));
}

Document Document::read(const std::string& path) {
    if (const std::optional<std::string> text = read_text_file(path)) return parse(*text, path);
    auto state = std::make_unique<DocumentState>();
    state->name = path;
    state->add_error(0, "file", "can't be read");
    return Document(std::move(state));
}

Table Document::root() { return Table(state_.get(), &state_->root, ""); }

ConfigErrors Document::take_errors() {
    // If parsing failed, there are no keys to check.
    if (state_->errors.empty() || !state_->root.empty()) add_unknown_keys(*state_, state_->root, "");
    std::stable_sort(state_->errors.begin(), state_->errors.end(),
                     [](const ConfigError& one, const ConfigError& other) { return one.line < other.line; });
    ConfigErrors errors;
    for (const ConfigError& error : state_->errors)
        if (std::find(errors.begin(), errors.end(), error) == errors.end()) errors.push_back(error);
    state_->errors.clear();
    return errors;
}

}  // namespace whinpost::config
