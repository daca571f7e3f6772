// Conversion of times of day to a steady clock.
#include "net/unix_clock.h"

#include <catch2/catch.hpp>

using namespace whinpost;
using net::UnixClock;

namespace {

constexpr Nanos kHour = 3600 * kSecond;
constexpr Nanos kOffset = 1'000'000 * kSecond;  // the time of day when the steady clock is 0

}  // namespace

TEST_CASE("without a step, times of day are converted with the initial offset and limited to now") {
    const UnixClock clock(10 * kSecond, kOffset);
    CHECK(clock.to_steady(kOffset + 15 * kSecond, 20 * kSecond) == 15 * kSecond);
    CHECK(clock.to_steady(kOffset + 2 * kSecond, 20 * kSecond) == 2 * kSecond);  // before the start
    CHECK(clock.to_steady(kOffset + 50 * kSecond, 20 * kSecond) == 20 * kSecond);
}

TEST_CASE("after a step each time of day is converted with the offset of its own period") {
    const Nanos step = GENERATE(-kHour, -5 * kSecond, 5 * kSecond, kHour);
    UnixClock clock(10 * kSecond, kOffset);
    clock.update(20 * kSecond, kOffset + kMillisecond);  // drift, not a step
    clock.update(100 * kSecond, kOffset + step);
    CHECK(clock.to_steady(kOffset + step + 130 * kSecond, 150 * kSecond) == 130 * kSecond);
    CHECK(clock.to_steady(kOffset + 60 * kSecond, 150 * kSecond) == 60 * kSecond);
    CHECK(clock.initial_offset() == kOffset);
}

TEST_CASE("a skipped time of day becomes the time of the step, a repeated one its later occurrence") {
    UnixClock forward(0, kOffset);
    forward.update(100 * kSecond, kOffset + kHour);
    CHECK(forward.to_steady(kOffset + 200 * kSecond, 150 * kSecond) == 100 * kSecond);
    UnixClock back(0, kOffset);
    back.update(100 * kSecond, kOffset - 30 * kSecond);
    CHECK(back.to_steady(kOffset + 90 * kSecond, 150 * kSecond) == 120 * kSecond);
    CHECK(back.to_steady(kOffset + 90 * kSecond, 110 * kSecond) == 90 * kSecond);
}

TEST_CASE("after very many steps only the latest ones are taken into account") {
    UnixClock clock(0, kOffset);
    for (int i = 1; i <= 1000; ++i) clock.update(i * kSecond, kOffset + i * kSecond);
    CHECK(clock.to_steady(kOffset + 2000 * kSecond, 1000 * kSecond) == 1000 * kSecond);
    CHECK(clock.to_steady(kOffset + 1990 * kSecond, 1000 * kSecond) == 995 * kSecond);
}
