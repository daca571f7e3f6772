// One table of a TOML document, read key by key as plain values that are in range.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::config {

struct DocumentState;

// A getter marks its key as known. A value that is missing or out of range becomes an error of the document,
// and the getter returns one that is in range; a getter with a `fallback` returns that for a missing key,
// which is then no error. Valid as long as its document.
class Table {
public:
    bool has(std::string_view key) const;
    Table table(std::string_view key);                // an empty one if the key is missing
    std::vector<Table> tables(std::string_view key);  // [[key]]; none if the key is missing

    std::string string(std::string_view key);
    std::string string(std::string_view key, std::string_view fallback);
    double number(std::string_view key, double least, double most);
    double number(std::string_view key, double least, double most, double fallback);
    std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most);
    std::int64_t integer(std::string_view key, std::int64_t least, std::int64_t most, std::int64_t fallback);
    bool boolean(std::string_view key, bool fallback);
    // The key's ending is the unit of its value: _ms, or _s for any other.
    Nanos duration(std::string_view key, Nanos least, Nanos most);
    Nanos duration(std::string_view key, Nanos least, Nanos most, Nanos fallback);
    // The index of the value among the words.
    std::size_t choice(std::string_view key, const std::vector<std::string_view>& words);
    std::size_t choice(std::string_view key, const std::vector<std::string_view>& words,
                       std::size_t fallback);
    std::vector<std::string> strings(std::string_view key);
    std::string address(std::string_view key);  // an IP address and a port

    // An error that the caller has found.
    void add_error(std::string_view key, std::string_view problem);

private:
    friend class Document;
    Table(DocumentState* document, const void* table, std::string path)
        : document_(document), table_(table), path_(std::move(path)) {}
    const void* find(std::string_view key);           // marks it as known; null if missing
    const void* find_required(std::string_view key);  // a missing one is an error

    DocumentState* document_;
    const void* table_;  // a toml::table, or null for one that is not there; toml++ stays out of this header
    std::string path_;
};

}  // namespace whinpost::config
