// Slow start of an emulated worker.
#include "emulator/warm_up.h"

#include <catch2/catch.hpp>

using namespace whinpost;

namespace {

emulator::EmulatedWorkerSettings settings() {
    emulator::EmulatedWorkerSettings out;
    out.initial_capacity = 0.2;
    out.warm_up_time = 10 * kSecond;
    out.guaranteed_attempts = 3;
    out.overload_factor = 0;  // so that only the guaranteed attempts count
    out.overload_window = kSecond;
    return out;
}

}  // namespace

TEST_CASE("capacity grows linearly from its initial share to the full capacity") {
    const emulator::EmulatedWorkerSettings given = settings();
    const emulator::WarmUp warm_up(given, 100 * kSecond);
    CHECK(warm_up.capacity(100 * kSecond) == Approx(0.2));
    CHECK(warm_up.capacity(105 * kSecond) == Approx(0.6));
    CHECK_FALSE(warm_up.complete(109 * kSecond));
    CHECK(warm_up.complete(110 * kSecond));
    CHECK(emulator::WarmUp(given, 0).complete(1));
}

TEST_CASE("more attempts within the window than the limit overload a worker, until its warm-up is complete") {
    const emulator::EmulatedWorkerSettings given = settings();
    emulator::WarmUp warm_up(given, 100 * kSecond);
    const Nanos start = 101 * kSecond;
    for (int i = 0; i < 3; ++i) CHECK_FALSE(warm_up.overloads(start + i));
    CHECK_FALSE(warm_up.overloads(start + kSecond));  // the first has left the window
    CHECK(warm_up.overloads(start + kSecond));
    for (int i = 0; i < 10; ++i) CHECK_FALSE(warm_up.overloads(120 * kSecond));
}
