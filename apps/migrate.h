// whinpost migrate: reads the files, writes the new one whole or not at all, and says what it did.
#pragma once
#include <string>

namespace whinpost::apps {

// 0: all was carried or replaced; 1: written, but something was left behind; 2: an error, and no file.
int migrate(const std::string& old_path, const std::string& shape_path, const std::string& new_path,
            bool dry_run);

}  // namespace whinpost::apps
