// A TOML file that is checked whole before any of it is used. Each part of the program reads its own table
// through this; what is wrong is gathered, with file, line and key and what was expected; a key that nobody
// reads is wrong too.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::config {

class Table;

// The whole text of a file; nothing where it can't be read, as a folder can't.
std::optional<std::string> read_text_file(const std::string& path);

class Document {
public:
    static Document read(const std::string& path);  // a file that can't be read or parsed is one problem
    static Document parse(std::string_view text, std::string name);
    ~Document();
    Document(Document&&) noexcept;

    Table root();
    // After all was read: what is wrong, in the order of the file. Empty if nothing is.
    std::vector<std::string> problems();

private:
    friend class Table;
    struct State;
    explicit Document(std::unique_ptr<State>);
    std::unique_ptr<State> state_;
};

// One table. Reading a key marks it as known; a getter without a default makes a missing key a problem.
class Table {
public:
    bool has(std::string_view key) const;
    Table table(std::string_view key);                // empty, if it is not there
    std::vector<Table> tables(std::string_view key);  // [[key]], none if it is not there

    std::string string(std::string_view key);
    std::string string(std::string_view key, std::string_view absent);
    double number(std::string_view key, double least, double most);
    double number(std::string_view key, double least, double most, double absent);
    std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most);
    std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most, std::int64_t absent);
    bool boolean(std::string_view key, bool absent);
    // Keys that end in _ms or _s say their unit; the value is a number of it, from `least` to `most`.
    Nanos duration(std::string_view key, Nanos least, Nanos most);
    Nanos duration(std::string_view key, Nanos least, Nanos most, Nanos absent);
    // One of the given words; gives back its place among them.
    std::size_t choice(std::string_view key, const std::vector<std::string_view>& words);
    std::size_t choice(std::string_view key, const std::vector<std::string_view>& words, std::size_t absent);
    std::vector<std::string> strings(std::string_view key);
    std::string address(std::string_view key);  // an IP address and a port

    // A problem of the caller's own finding.
    void add_problem(std::string_view key, std::string_view expected);

private:
    friend class Document;
    Table(Document::State* s, const void* node, std::string path)
        : state_(s), node_(node), path_(std::move(path)) {}
    const void* lookup(std::string_view key, bool required);
    Document::State* state_;
    const void* node_;  // a toml::table, or null
    std::string path_;
};

}  // namespace whinpost::config
