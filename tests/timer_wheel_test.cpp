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
        if (again > 0) on->arm(*this, now + again);
    }
    TimerWheel* on = nullptr;
    int fired = 0;
    Nanos fired_at = 0, again = 0;
};

}  // namespace

TEST_CASE("each timer fires in the first run at or after its deadline's tick, as in an ordered map") {
    const auto seed = GENERATE(take(40, random(1u, 1u << 30)));
    std::ranlux24_base chance(seed);
    const auto roll = [&chance](std::int64_t n) {
        return static_cast<std::int64_t>((static_cast<std::uint64_t>(chance()) << 24 | chance()) %
                                         static_cast<std::uint64_t>(n));
    };
    Nanos now = 1'700'000'000 * kSecond + roll(kSecond);
    TimerWheel w(now);
    std::vector<std::unique_ptr<RecordingTimer>> timers;
    std::map<RecordingTimer*, std::int64_t> plain;  // the tick in which each armed timer is due
    std::int64_t turned = now / TimerWheel::kTick - 1;
    for (int i = 0; i < 60; ++i) timers.push_back(std::make_unique<RecordingTimer>());
    for (int step = 0; step < 2000; ++step) {
        RecordingTimer& t = *timers[static_cast<std::size_t>(roll(60))];
        const auto what = roll(10);
        if (what < 5) {
            // From deadlines in the past to deadlines in the upper levels.
            const Nanos spans[] = {-kSecond, 5 * kMillisecond, 300 * kMillisecond, 100 * kSecond,
                                   40'000 * kSecond};
            const Nanos at = now + (roll(4) ? roll(std::abs(spans[roll(5)]) + 1) : spans[roll(5)]);
            w.arm(t, at);
            plain[&t] = std::max((at + TimerWheel::kTick - 1) / TimerWheel::kTick, turned + 1);
        } else if (what < 8) {
            t.disarm();
            plain.erase(&t);
        } else {
            const Nanos jumps[] = {kMicrosecond, kMillisecond, 50 * kMillisecond, 3 * kSecond, 200 * kSecond};
            const Nanos next = w.next_deadline();
            for (const auto& [p, tick] : plain) REQUIRE(next <= tick * TimerWheel::kTick);
            now += roll(jumps[roll(5)]) + 1;
            w.run_timers(now);
            turned = std::max(turned, now / TimerWheel::kTick);
            for (auto it = plain.begin(); it != plain.end();) {
                const bool due = it->second <= turned;
                REQUIRE(it->first->armed() != due);
                if (!due) {
                    ++it;
                    continue;
                }
                REQUIRE(it->first->fired_at == now);
                REQUIRE(it->first->fired_at >= it->first->deadline());
                it = plain.erase(it);
            }
        }
        REQUIRE(w.armed_timers() == plain.size());
    }
}

TEST_CASE("a timer that arms itself for the current time fires again in a later run, not in the same one") {
    TimerWheel w(0);
    RecordingTimer t;
    t.on = &w;
    t.again = 1;
    w.arm(t, kMillisecond);
    w.run_timers(kMillisecond);
    CHECK(t.fired == 1);
    w.run_timers(2 * kMillisecond);
    CHECK(t.fired == 2);
}

TEST_CASE("a timer that another timer's callback destroys in the same run does not fire") {
    TimerWheel w(0);
    auto victim = std::make_unique<RecordingTimer>();
    struct Killer : timer_wheel::Timer {
        void on_deadline(Nanos) override { victim->reset(); }
        std::unique_ptr<RecordingTimer>* victim;
    } killer;
    killer.victim = &victim;
    w.arm(killer, 5 * kMillisecond);
    w.arm(*victim, 5 * kMillisecond);
    w.run_timers(kSecond);
    CHECK(victim == nullptr);
    CHECK(w.armed_timers() == 0);
}
