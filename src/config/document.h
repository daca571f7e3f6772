// A TOML file. Each part of the program reads its own table through Table. Errors are collected, so that an
// operator sees all of them at once, and the values are to be used only if there are none. A key that no part
// has read is an error too.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/config_error.h"
#include "config/table.h"

namespace whinpost::config {

// The content of a file; nullopt if it can't be read, for example because it is a directory.
std::optional<std::string> read_text_file(const std::string& path);

class Document {
public:
    // Both always return a document. If the file can't be read or parsed, the document has no keys, and
    // take_errors() returns the error.
    [[nodiscard]] static Document read(const std::string& path);
    // `name`: the file name, for errors.
    [[nodiscard]] static Document parse(std::string_view text, std::string name);
    ~Document();
    Document(Document&&) noexcept;

    // Valid for the lifetime of the document.
    [[nodiscard]] Table root();
    // To be called after all tables have been read. Returns all errors in the order of their lines, without
    // duplicates, and removes them from the document.
    [[nodiscard]] ConfigErrors take_errors();

private:
    explicit Document(std::unique_ptr<DocumentState>);
    std::unique_ptr<DocumentState> state_;
};

}  // namespace whinpost::config
