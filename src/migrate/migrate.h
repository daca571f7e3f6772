// The counterpart of a placer's file for a deployment of another shape: what describes the shape comes from
// a file of its own, all else from the old file. Text in, text out; the caller reads and writes.
#pragma once
#include <string>
#include <vector>

namespace whinpost::migrate {

struct NamedText {
    std::string name, text;  // the name is for what is said of it
};

struct MigrationResult {
    std::string text;                   // the new file; empty where there are problems
    std::vector<std::string> carried;   // from the old file as they stood
    std::vector<std::string> replaced;  // by the shape's: what stood, what stands
    std::vector<std::string>
        left_behind;                    // of the old file, and in no way in the new one: with line and reason
    std::vector<std::string> problems;  // with file, line and key
};

MigrationResult migrate_configuration(const NamedText& old, const NamedText& shape,
                                      const std::string& new_name);

}  // namespace whinpost::migrate
