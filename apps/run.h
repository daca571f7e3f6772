// The commands `whinpost run` and `whinpost check`, for one placer with its own configuration file.
#pragma once
#include <string>

namespace whinpost::apps {

// Runs a placer until a signal ends it. Returns the exit status: 1 if the file is invalid or listening on its
// address fails.
int run(const std::string& path);

// Prints all errors in the file. Returns the exit status: 0 if the file is valid.
int check(const std::string& path);

}  // namespace whinpost::apps
