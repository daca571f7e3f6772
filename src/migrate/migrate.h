// Rewrites a placer's configuration for a deployment of another shape: the keys that describe the shape come
// from a separate file, all others from the old file. Works on texts; the caller reads and writes the files.
#pragma once
#include <string>
#include <vector>

#include "config/config_error.h"

namespace whinpost::migrate {

struct NamedText {
    std::string name;  // the file name, for errors and reports
    std::string text;
};

// The strings in the lists are report lines for the operator, with file, line and key where they are known.
struct MigrationResult {
    std::string text;                      // the new file; empty if there are errors
    std::vector<std::string> carried;      // keys taken from the old file
    std::vector<std::string> replaced;     // keys set by the shape, with old and new value
    std::vector<std::string> left_behind;  // keys of the old file that the new one lacks, with the reason
    config::ConfigErrors errors;
};

MigrationResult migrate_configuration(const NamedText& old, const NamedText& shape,
                                      const std::string& new_name);

}  // namespace whinpost::migrate
