// Includes toml++ with its assertions turned into exceptions in all builds. Version 3.3 asserts that the name
// of a table starts with a valid character, and an invalid file makes the assertion fail (found by fuzzing).
// Always include this header instead of <toml++/toml.h>.
#pragma once
#include <stdexcept>

#define TOML_ASSERT(expr)          \
    ((expr) ? static_cast<void>(0) \
            : throw std::runtime_error("is not well-formed TOML (in the name of a table or key)"))
#pragma GCC diagnostic push
#ifndef __clang__
// Some assertions are in noexcept functions; there a failure still terminates the program.
#pragma GCC diagnostic ignored "-Wterminate"
#endif
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")
#pragma GCC diagnostic pop
