// The command `whinpost migrate`: merges an old configuration and a shape into a new file, which is written
// completely or not at all, and prints a report.
#pragma once
#include <string>

namespace whinpost::apps {

struct MigrateOptions {
    std::string old_path;
    std::string shape_path;
    std::string new_path;
    bool dry_run = false;  // prints the report, but writes no file
};

// Returns the exit status. 0: all keys of the old file were carried or replaced; 1: the file was written, but
// some keys were left behind; 2: an error, and no file was written.
int migrate(const MigrateOptions&);

}  // namespace whinpost::apps
