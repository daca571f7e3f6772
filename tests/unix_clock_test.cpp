// Times of day as moments of a clock that is never set.
#include "net/unix_clock.h"

#include <catch2/catch.hpp>

using namespace whinpost;
using net::UnixClock;

namespace {

constexpr Nanos kHour = 3600 * kSecond;
constexpr Nanos kOffset = 1'000'000 * kSecond;  // the time of day at the steady clock's 0

}  // namespace

TEST_CASE("a time of day before any step is translated by the offset of the start, now at the latest") {
    const UnixClock clock(10 * kSecond, kOffset);
    CHECK(clock.to_steady(kOffset + 15 * kSecond, 20 * kSecond) == 15 * kSecond);
    CHECK(clock.to_steady(kOffset + 2 * kSecond, 20 * kSecond) == 2 * kSecond);  // before the start
    CHECK(clock.to_steady(kOffset + 50 * kSecond, 20 * kSecond) == 20 * kSecond);
}

TEST_CASE("after a step each time of day belongs to the period in which it occurred") {
    const Nanos step = GENERATE(-kHour, -5 * kSecond, 5 * kSecond, kHour);
    UnixClock clock(10 * kSecond, kOffset);
    clock.update(20 * kSecond, kOffset + kMillisecond);  // drift is no step
    clock.update(100 * kSecond, kOffset + step);
    CHECK(clock.to_steady(kOffset + step + 130 * kSecond, 150 * kSecond) == 130 * kSecond);
    CHECK(clock.to_steady(kOffset + 60 * kSecond, 150 * kSecond) == 60 * kSecond);
    CHECK(clock.initial_offset() == kOffset);
}

TEST_CASE("a time of day that a step left out is the moment of the step, and one that came twice the later") {
    UnixClock forward(0, kOffset);
    forward.update(100 * kSecond, kOffset + kHour);
    CHECK(forward.to_steady(kOffset + 200 * kSecond, 150 * kSecond) == 100 * kSecond);
    UnixClock back(0, kOffset);
    back.update(100 * kSecond, kOffset - 30 * kSecond);
    CHECK(back.to_steady(kOffset + 90 * kSecond, 150 * kSecond) == 120 * kSecond);
    CHECK(back.to_steady(kOffset + 90 * kSecond, 110 * kSecond) == 90 * kSecond);
}

TEST_CASE("of very many steps the latest are known") {
    UnixClock clock(0, kOffset);
    for (int i = 1; i <= 1000; ++i) clock.update(i * kSecond, kOffset + i * kSecond);
    CHECK(clock.to_steady(kOffset + 2000 * kSecond, 1000 * kSecond) == 1000 * kSecond);
    CHECK(clock.to_steady(kOffset + 1990 * kSecond, 1000 * kSecond) == 995 * kSecond);
}
