#include "config/document.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "config/toml.h"

namespace whinpost::config {

struct Document::State {
    std::string name;
    toml::table root;
    std::set<const toml::node*> known;
    struct Problem {
        std::uint32_t line;
        std::string text;
    };
    std::vector<Problem> problems;

    void add(std::uint32_t line, std::string_view path, std::string_view expected) {
        std::ostringstream out;
        out << name << ":" << line << ": " << path << ": " << expected;
        problems.push_back({line, out.str()});
    }
    void unknown(const toml::table& t, const std::string& path) {
        for (auto&& [key, node] : t) {
            const std::string at =
                path.empty() ? std::string(key.str()) : path + "." + std::string(key.str());
            if (!known.contains(&node)) add(node.source().begin.line, at, "is not a known key");
            else if (const auto* sub = node.as_table()) unknown(*sub, at);
            else if (const auto* list = node.as_array())
                for (std::size_t i = 0; i < list->size(); ++i)
                    if (const auto* each = list->get(i)->as_table())
                        unknown(*each, at + "[" + std::to_string(i) + "]");
        }
    }
};

Document::Document(std::unique_ptr<State> s) : state_(std::move(s)) {}
Document::~Document() = default;
Document::Document(Document&&) noexcept = default;

Document Document::parse(std::string_view text, std::string name) {
    auto s = std::make_unique<State>();
    s->name = std::move(name);
    try {
        s->root = toml::parse(text);
    } catch (const toml::parse_error& e) {
        s->add(e.source().begin.line, "file", e.description());
    } catch (const std::runtime_error& e) {  // an assertion of the library's, which knows no line
        s->add(0, "file", e.what());
    }
    return Document(std::move(s));
}

std::optional<std::string> read_text_file(const std::string& path) {
    std::error_code none;
    std::ifstream in(path, std::ios::binary);
    // A folder opens like a file, and throws when it is read.
    if (!in || std::filesystem::is_directory(path, none)) return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(in), {});
}

Document Document::read(const std::string& path) {
    const std::optional<std::string> text = read_text_file(path);
    if (!text) {
        auto s = std::make_unique<State>();
        s->name = path;
        s->add(0, "file", "can't be read");
        return Document(std::move(s));
    }
    return parse(*text, path);
}

Table Document::root() { return Table(state_.get(), &state_->root, ""); }

std::vector<std::string> Document::problems() {
    // A file that does not parse has no keys to be unknown.
    if (state_->problems.empty() || !state_->root.empty()) state_->unknown(state_->root, "");
    std::stable_sort(state_->problems.begin(), state_->problems.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    std::vector<std::string> out;
    for (const auto& p : state_->problems)
        if (std::find(out.begin(), out.end(), p.text) == out.end()) out.push_back(p.text);
    state_->problems.clear();
    return out;
}

namespace {
const toml::table* as_table(const void* node) { return static_cast<const toml::table*>(node); }
const toml::node* as_node(const void* node) { return static_cast<const toml::node*>(node); }
std::string shown(double v) {
    std::ostringstream out;
    out << v;
    return out.str();
}
}  // namespace

bool Table::has(std::string_view key) const { return node_ && as_table(node_)->contains(key); }

const void* Table::lookup(std::string_view key, bool required) {
    const toml::node* n = node_ ? as_table(node_)->get(key) : nullptr;
    if (n) state_->known.insert(n);
    else if (required) add_problem(key, "is missing");
    return n;
}

void Table::add_problem(std::string_view key, std::string_view expected) {
    const toml::table* t = as_table(node_);
    const toml::node* n = t ? t->get(key) : nullptr;
    const std::uint32_t line = n ? n->source().begin.line : t ? t->source().begin.line : 0;
    const std::string path = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
    state_->add(line, path, expected);
}

Table Table::table(std::string_view key) {
    const auto* n = as_node(lookup(key, false));
    const std::string path = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
    if (n && !n->is_table()) add_problem(key, "must be a table");
    return Table(state_, n && n->is_table() ? n->as_table() : nullptr, path);
}

std::vector<Table> Table::tables(std::string_view key) {
    std::vector<Table> out;
    const auto* n = as_node(lookup(key, false));
    if (!n) return out;
    const toml::array* list = n->as_array();
    if (!list) {
        add_problem(key, "must be a list of tables ([[...]])");
        return out;
    }
    const std::string path = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
    for (std::size_t i = 0; i < list->size(); ++i) {
        state_->known.insert(list->get(i));
        if (const auto* t = list->get(i)->as_table())
            out.push_back(Table(state_, t, path + "[" + std::to_string(i) + "]"));
        else add_problem(key, "must hold tables only");
    }
    return out;
}

std::string Table::string(std::string_view key) {
    const auto* n = as_node(lookup(key, true));
    if (!n) return "";
    if (const auto* s = n->as_string(); s && !s->get().empty()) return s->get();
    add_problem(key, "must be a text in quotes, and not empty");
    return "";
}
std::string Table::string(std::string_view key, std::string_view absent) {
    return has(key) ? string(key) : std::string(absent);
}

double Table::number(std::string_view key, double least, double most) {
    const auto* n = as_node(lookup(key, true));
    if (!n) return least;
    const std::optional<double> v = n->is_number() ? n->value<double>() : std::nullopt;
    if (v && std::isfinite(*v) && *v >= least && *v <= most) return *v;
    add_problem(key, "must be a number from " + shown(least) + " to " + shown(most));
    return least;
}
double Table::number(std::string_view key, double least, double most, double absent) {
    return has(key) ? number(key, least, most) : absent;
}

std::int64_t Table::integer(std::string_view key, std::int64_t least, std::int64_t most) {
    const auto* n = as_node(lookup(key, true));
    if (!n) return least;
    const auto* i = n->as_integer();
    if (i && i->get() >= least && i->get() <= most) return i->get();
    add_problem(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return least;
}
std::int64_t Table::integer(std::string_view key, std::int64_t least, std::int64_t most,
                            std::int64_t absent) {
    return has(key) ? integer(key, least, most) : absent;
}

bool Table::boolean(std::string_view key, bool absent) {
    const auto* n = as_node(lookup(key, false));
    if (!n) return absent;
    if (const auto* b = n->as_boolean()) return b->get();
    add_problem(key, "must be true or false");
    return absent;
}

Nanos Table::duration(std::string_view key, Nanos least, Nanos most) {
    const Nanos unit = key.ends_with("_ms") ? kMillisecond : kSecond;
    const double in = static_cast<double>(unit);
    return static_cast<Nanos>(number(key, static_cast<double>(least) / in, static_cast<double>(most) / in) *
                              in);
}
Nanos Table::duration(std::string_view key, Nanos least, Nanos most, Nanos absent) {
    return has(key) ? duration(key, least, most) : absent;
}

std::size_t Table::choice(std::string_view key, const std::vector<std::string_view>& words) {
    const auto* n = as_node(lookup(key, true));
    if (!n) return 0;
    const auto* s = n->as_string();
    for (std::size_t i = 0; s && i < words.size(); ++i)
        if (s->get() == words[i]) return i;
    std::string expected = "must be one of";
    for (const std::string_view w : words) expected += " \"" + std::string(w) + "\"";
    add_problem(key, expected);
    return 0;
}
std::size_t Table::choice(std::string_view key, const std::vector<std::string_view>& words,
                          std::size_t absent) {
    return has(key) ? choice(key, words) : absent;
}

std::vector<std::string> Table::strings(std::string_view key) {
    std::vector<std::string> out;
    const auto* n = as_node(lookup(key, true));
    if (!n) return out;
    const toml::array* list = n->as_array();
    for (std::size_t i = 0; list && i < list->size(); ++i) {
        const auto* s = list->get(i)->as_string();
        if (!s || s->get().empty()) {
            add_problem(key, "must hold texts in quotes only");
            return out;
        }
        out.push_back(s->get());
    }
    if (!list || list->empty()) add_problem(key, "must be a list of one text or more");
    return out;
}

std::string Table::address(std::string_view key) {
    const std::string v = string(key);
    if (v.empty()) return v;
    const std::size_t colon = v.rfind(':');
    bool ok = colon != std::string::npos && colon + 1 < v.size() && v.size() - colon <= 6;
    for (std::size_t i = colon + 1; ok && i < v.size(); ++i) ok = v[i] >= '0' && v[i] <= '9';
    ok = ok && std::stoi(v.substr(colon + 1)) <= 65'535;
    if (ok) {
        std::string host = v.substr(0, colon);
        unsigned char out[16];
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            ok = inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), out) == 1;
        else ok = inet_pton(AF_INET, host.c_str(), out) == 1;
    }
    if (!ok) add_problem(key, "must be an IP address and a port, as in \"127.0.0.1:7400\"");
    return v;
}

}  // namespace whinpost::config
