// toml++, with its assertions made exceptions in all builds: 3.3 asserts that a table's name begins with a
// character of a key, and a file can make that untrue (found by fuzzing). Include this, never
// <toml++/toml.h>.
#pragma once
#include <stdexcept>

#define TOML_ASSERT(expr)          \
    ((expr) ? static_cast<void>(0) \
            : throw std::runtime_error("is not well-formed TOML (in the name of a table or key)"))
#pragma GCC diagnostic push
#ifndef __clang__
#pragma GCC diagnostic ignored \
    "-Wterminate"  // some assertions stand in noexcept functions: there it ends as before
#endif
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
#pragma GCC diagnostic pop
