// `whinpost run` and `whinpost check`: one placer from its own configuration file.
#pragma once
#include <string>

namespace whinpost::apps {

// Runs until a signal ends it. The exit status: 1 if the file is wrong or its address can't be listened on.
int run(const std::string& path);

// Prints all that is wrong with the file. The exit status: 0 if nothing is.
int check(const std::string& path);

}  // namespace whinpost::apps
