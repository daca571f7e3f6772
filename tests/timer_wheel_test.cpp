// Compares the timing wheel with an ordered map of deadlines.
#include "timer_wheel/timer_wheel.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace whinpost;
using timer_wheel::TimerWheel;

namespace {

struct RecordingTimer : timer_wheel::Timer {
    void on_deadline(Nanos now) override {
        ++fired;
        fired_at = now;
        if (rearm_after > 0) wheel->arm(*this, now + rearm_after);
    }
    TimerWheel* wheel = nullptr;
    int fired = 0;
    Nanos fired_at = 0, rearm_after = 0;
};

}  // namespace

TEST_CASE("each timer fires in the first run at or after its deadline's tick, as in an ordered map") {
    const auto seed = GENERATE(take(40, random(1u, 1u << 30)));
    std::ranlux24_base generator(seed);
    const auto random_below = [&generator](std::int64_t n) {
        return static_cast<std::int64_t>((static_cast<std::uint64_t>(generator()) << 24 | generator()) %
                                         static_cast<std::uint64_t>(n));
    };
    Nanos now = 1'700'000'000 * kSecond + random_below(kSecond);
    TimerWheel wheel(now);
    std::vector<std::unique_ptr<RecordingTimer>> timers;
    std::map<RecordingTimer*, std::int64_t> expected;  // the tick in which each armed timer is due
    std::int64_t last_run_tick = now / TimerWheel::kTick - 1;
    for (int i = 0; i < 60; ++i) timers.push_back(std::make_unique<RecordingTimer>());
    for (int step = 0; step < 2000; ++step) {
        RecordingTimer& timer = *timers[static_cast<std::size_t>(random_below(60))];
        const auto action = random_below(10);
        if (action < 5) {
            // From deadlines in the past to deadlines in the upper levels.
            const Nanos spans[] = {-kSecond, 5 * kMillisecond, 300 * kMillisecond, 100 * kSecond,
                                   40'000 * kSecond};
            const Nanos at = now + (random_below(4) ? random_below(std::abs(spans[random_below(5)]) + 1)
                                                    : spans[random_below(5)]);
            wheel.arm(timer, at);
            expected[&timer] = std::max((at + TimerWheel::kTick - 1) / TimerWheel::kTick, last_run_tick + 1);
        } else if (action < 8) {
            timer.disarm();
            expected.erase(&timer);
        } else {
            const Nanos jumps[] = {kMicrosecond, kMillisecond, 50 * kMillisecond, 3 * kSecond, 200 * kSecond};
            const Nanos next = wheel.next_deadline();
            for (const auto& [p, tick] : expected) REQUIRE(next <= tick * TimerWheel::kTick);
            now += random_below(jumps[random_below(5)]) + 1;
            wheel.run_timers(now);
            last_run_tick = std::max(last_run_tick, now / TimerWheel::kTick);
            for (auto it = expected.begin(); it != expected.end();) {
                const bool due = it->second <= last_run_tick;
                REQUIRE(it->first->armed() != due);
                if (!due) {
                    ++it;
                    continue;
                }
                REQUIRE(it->first->fired_at == now);
                REQUIRE(it->first->fired_at >= it->first->deadline());
                it = expected.erase(it);
            }
        }
        REQUIRE(wheel.armed_timers() == expected.size());
    }
}

TEST_CASE("a timer that arms itself for the current time fires again in a later run, not in the same one") {
    TimerWheel wheel(0);
    RecordingTimer timer;
    timer.wheel = &wheel;
    timer.rearm_after = 1;
    wheel.arm(timer, kMillisecond);
    wheel.run_timers(kMillisecond);
    CHECK(timer.fired == 1);
    wheel.run_timers(2 * kMillisecond);
    CHECK(timer.fired == 2);
}

TEST_CASE("a timer that another timer's callback destroys in the same run does not fire") {
    TimerWheel wheel(0);
    auto victim = std::make_unique<RecordingTimer>();
    struct DestroyingTimer : timer_wheel::Timer {
        void on_deadline(Nanos) override { victim->reset(); }
        std::unique_ptr<RecordingTimer>* victim;
    } destroyer;
    destroyer.victim = &victim;
    wheel.arm(destroyer, 5 * kMillisecond);
    wheel.arm(*victim, 5 * kMillisecond);
    wheel.run_timers(kSecond);
    CHECK(victim == nullptr);
    CHECK(wheel.armed_timers() == 0);
}
