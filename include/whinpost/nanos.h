// The time type of all packages: nanoseconds of a clock that the caller chooses. Functions get the time as an
// argument.
#pragma once
#include <cstdint>

namespace whinpost {

using Nanos = std::int64_t;
constexpr Nanos kMicrosecond = 1'000, kMillisecond = 1'000'000, kSecond = 1'000'000'000;

}  // namespace whinpost
