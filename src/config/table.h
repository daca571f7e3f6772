// One table of a TOML document. Its values are read by key and checked.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "whinpost/scheduler.h"

namespace whinpost::config {

struct DocumentState;

// A getter marks its key as known. If the value is missing, has the wrong type or is out of range, the getter
// adds an error to the document and returns a default that is in range. A getter with a `fallback` returns
// that for a missing key, which is then not an error. A table is valid for the lifetime of its document.
class Table {
public:
    bool has(std::string_view key) const;
    Table table(std::string_view key);                // an empty table if the key is missing
    std::vector<Table> tables(std::string_view key);  // the array of tables [[key]]; empty if it is missing

    std::string string(std::string_view key);
    std::string string(std::string_view key, std::string_view fallback);
    double number(std::string_view key, double min, double max);
    double number(std::string_view key, double min, double max, double fallback);
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max);
    std::int64_t integer(std::string_view key, std::int64_t min, std::int64_t max, std::int64_t fallback);
    bool boolean(std::string_view key, bool fallback);
    // The unit is milliseconds if the key ends in _ms, else seconds.
    Nanos duration(std::string_view key, Nanos min, Nanos max);
    Nanos duration(std::string_view key, Nanos min, Nanos max, Nanos fallback);
    // The index in `choices` of the value.
    std::size_t choice(std::string_view key, const std::vector<std::string_view>& choices);
    std::size_t choice(std::string_view key, const std::vector<std::string_view>& choices,
                       std::size_t fallback);
    std::vector<std::string> strings(std::string_view key);
    std::string address(std::string_view key);  // "IP:PORT", as parse_socket_address() takes it

    // Adds an error that the caller has found.
    void add_error(std::string_view key, std::string_view problem);

private:
    friend class Document;
    Table(DocumentState* document, const void* table, std::string path)
        : document_(document), table_(table), path_(std::move(path)) {}
    const void* find(std::string_view key);           // marks the key as known; null if missing
    const void* find_required(std::string_view key);  // as find(); adds an error if missing

    DocumentState* document_;
    const void* table_;  // a toml::table, null if missing; void, so that this header does not include toml++
    std::string path_;
};

}  // namespace whinpost::config
