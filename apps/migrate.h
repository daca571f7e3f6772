// `whinpost migrate`: reads the files, writes the new one whole or not at all, and prints what it did.
#pragma once
#include <string>

namespace whinpost::apps {

struct MigrateOptions {
    std::string old_path;
    std::string shape_path;
    std::string new_path;
    bool dry_run = false;  // prints the same, and writes nothing
};

// The exit status. 0: everything was carried or replaced; 1: written, but something was left behind; 2: an
// error, and no file.
int migrate(const MigrateOptions&);

}  // namespace whinpost::apps
