// A TOML file that is checked whole before any of it is used. Each part of the program reads its own table
// through Table. Errors are gathered, so that an operator sees all of them at once; a key that nobody has
// read is an error too.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/config_error.h"
#include "config/table.h"

namespace whinpost::config {

// The whole text of a file; nothing where it can't be read, as a folder can't.
std::optional<std::string> read_text_file(const std::string& path);

class Document {
public:
    // Both always give a document: a file that can't be read or parsed is one that holds nothing but an
    // error.
    [[nodiscard]] static Document read(const std::string& path);
    // `name`: the file's, in errors.
    [[nodiscard]] static Document parse(std::string_view text, std::string name);
    ~Document();
    Document(Document&&) noexcept;

    // Valid as long as the document.
    [[nodiscard]] Table root();
    // To be called after everything has been read: all errors in the order of the file, each once. Empty if
    // there are none. Gives them up: another call starts anew.
    [[nodiscard]] ConfigErrors take_errors();

private:
    explicit Document(std::unique_ptr<DocumentState>);
    std::unique_ptr<DocumentState> state_;
};

}  // namespace whinpost::config
