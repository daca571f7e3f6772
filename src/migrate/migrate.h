// Rewrites a placer's file for a deployment of another shape: what describes the shape comes from a file of
// its own, everything else from the old file. Takes and gives text; the caller reads and writes the files.
#pragma once
#include <string>
#include <vector>

#include "config/config_error.h"

namespace whinpost::migrate {

struct NamedText {
    std::string name;  // the file's, in errors and notes
    std::string text;
};

// One line each for the operator, with file, line and key where it has them.
struct MigrationResult {
    std::string text;                      // the new file; empty if there are errors
    std::vector<std::string> carried;      // taken over from the old file
    std::vector<std::string> replaced;     // by the shape: what stood, what stands now
    std::vector<std::string> left_behind;  // in the old file, and in no way in the new one: with the reason
    config::ConfigErrors errors;
};

MigrationResult migrate_configuration(const NamedText& old, const NamedText& shape,
                                      const std::string& new_name);

}  // namespace whinpost::migrate
