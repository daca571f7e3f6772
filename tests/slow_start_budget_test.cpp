// Slow start: the budget of attempts to a worker that is warming up.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "scheduler/slow_start.h"
#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE(
    "all schedulers together stay within the attempt budget of a worker that is warming up, and use it") {
    const auto [schedulers, budget] =
        GENERATE(table<int, int>({{258, 13}, {300, 2}, {60, 41}, {5, 40}, {1, 9}}));
    std::vector<std::unique_ptr<SchedulerRig>> all;
    std::vector<Nanos> sent;
    for (int i = 0; i < schedulers; ++i) {
        SlowStartSettings slow_start{0.2, 16 * kSecond, 2, kSecond, static_cast<double>(budget), schedulers,
                                     i};
        all.push_back(std::make_unique<SchedulerRig>(std::vector{QueueGroup{}}, slow_start));
        all.back()->add_worker(0, 0, all.back()->now);
    }
    for (int step = 0; step < 60; ++step)
        for (auto& rig : all) {
            rig->now += 50 * kMillisecond;
            if (step % 4 == 0) rig->submit(rig->scheduler.add_service(1));
            const auto before = rig->decisions.size();
            rig->scheduler.run_round(rig->now);
            for (auto i = before; i < rig->decisions.size(); ++i)
                if (rig->decisions[i].kind == DecisionKind::place) sent.push_back(rig->now);
        }
    REQUIRE(sent.size() >= static_cast<std::size_t>(std::min(budget / 2, schedulers / 2)));
    for (const Nanos from : sent) {
        int in_window = 0;
        for (const Nanos at : sent) in_window += at >= from && at - from < kSecond;
        REQUIRE(in_window <= budget);
    }
}

TEST_CASE(
    "schedulers that restart within a turn, and forget what they sent, stay within the attempt budget") {
    const auto [schedulers, budget] = GENERATE(table<int, int>({{3, 13}, {16, 44}, {30, 44}, {30, 9}}));
    const int each = GENERATE(2, 3, 7);  // each scheduler restarts once in this many turns
    std::vector<std::unique_ptr<SchedulerRig>> all;
    std::vector<Nanos> sent;
    Nanos now = 1000 * kSecond;
    const auto start = [&, schedulers = schedulers, budget = budget](int i) {
        SlowStartSettings slow_start{0.2, 16 * kSecond, 2, kSecond, static_cast<double>(budget), schedulers,
                                     i};
        auto rig = std::make_unique<SchedulerRig>(std::vector{QueueGroup{}}, slow_start);
        rig->now = now;
        rig->add_worker(0, 0, 1000 * kSecond);
        rig->scheduler.start(now);
        return rig;
    };
    for (int i = 0; i < schedulers; ++i) all.push_back(start(i));
    for (int step = 1; step < 100; ++step) {
        now += 50 * kMillisecond;
        for (int i = 0; i < schedulers; ++i) {
            // Restarts some schedulers in the middle of a turn, when most have used their share.
            if (step % 20 == 10 && (i + step / 20) % each == 0) all[static_cast<std::size_t>(i)] = start(i);
            SchedulerRig& rig = *all[static_cast<std::size_t>(i)];
            rig.now = now;
            rig.submit(rig.scheduler.add_service(1));
            const auto before = rig.decisions.size();
            rig.scheduler.run_round(now);
            for (auto sent_index = before; sent_index < rig.decisions.size(); ++sent_index)
                if (rig.decisions[sent_index].kind == DecisionKind::place) sent.push_back(now);
        }
    }
    REQUIRE(sent.size() >= static_cast<std::size_t>(budget / 2));
    for (const Nanos from : sent) {
        int in_window = 0;
        for (const Nanos at : sent) in_window += at >= from && at - from < kSecond;
        REQUIRE(in_window <= budget);
    }
}

TEST_CASE(
    "half of the attempt budget is distributed to the schedulers in each turn, and none in its first 50 ms") {
    const int schedulers = GENERATE(1, 3, 16, 57);
    const Nanos turn_start = 1000 * kSecond;
    std::int64_t distributed = 0;
    for (int i = 0; i < schedulers; ++i) {
        const SlowStartSettings settings{0.2, 60 * kSecond, 2, kSecond, 44, schedulers, i};
        CHECK(scheduler::SlowStart::tokens(settings, 5, turn_start + 49 * kMillisecond) == 0);
        distributed += scheduler::SlowStart::tokens(settings, 5, turn_start + 50 * kMillisecond);
        CHECK(scheduler::SlowStart::tokens(settings, 5, turn_start + 50 * kMillisecond) ==
              Scheduler::slow_start_tokens(settings, 5, turn_start + 50 * kMillisecond));
    }
    CHECK(distributed == 22);
}

TEST_CASE("tokens granted by a worker take precedence over the scheduler's own share, and are consumed") {
    const scheduler::SlowStart slow_start({0.2, 60 * kSecond, 2, kSecond, 4, 1, 0});
    const Nanos now = 1000 * kSecond + kSecond / 2;
    Worker worker(1, kSecond, 1);
    CHECK_FALSE(slow_start.is_warming_up(now, worker));
    worker.endpoint.started_at = now - kSecond;
    CHECK(slow_start.is_warming_up(now, worker));
    for (int i = 0; i < 2; ++i) {
        CHECK(slow_start.allows(now, worker));
        slow_start.on_attempt_sent(now, worker);
    }
    CHECK_FALSE(slow_start.allows(now, worker));
    worker.slow_start.admission_tokens = 1;
    CHECK(slow_start.allows(now, worker));
    slow_start.on_attempt_sent(now, worker);
    CHECK(worker.slow_start.admission_tokens == 0);
    CHECK_FALSE(slow_start.allows(now, worker));
}
