// Backoff between failed watches of the endpoint list.
#include "scheduler/watch_retry.h"

#include <catch2/catch.hpp>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("failed watches are retried with growing delays, 10 to 20 times in 20 seconds") {
    SchedulerRig rig({QueueGroup{}}, SchedulerRig::default_slow_start(), {true, 10 * kSecond});
    rig.scheduler.start(rig.now);
    CHECK(rig.count(DecisionKind::watch) == 1);
    for (int i = 0; i < 2000; ++i) {
        const int before = rig.count(DecisionKind::watch);
        rig.advance(10 * kMillisecond, 10 * kMillisecond);
        if (rig.count(DecisionKind::watch) > before) rig.scheduler.on_watch_failed(rig.now);
        if (i == 0) rig.scheduler.on_watch_failed(rig.now);
    }
    CHECK(rig.count(DecisionKind::watch) >= 10);
    CHECK(rig.count(DecisionKind::watch) <= 20);
}

TEST_CASE("the delay doubles up to a fifth of the poll interval, and a successful watch resets it") {
    scheduler::WatchRetry retry(10 * kSecond);
    const Nanos now = 1000 * kSecond;
    CHECK_FALSE(retry.take_due(now));
    CHECK(retry.on_failure(now, 0) == now + 250 * kMillisecond);
    CHECK_FALSE(retry.take_due(now + 249 * kMillisecond));
    CHECK(retry.take_due(now + 250 * kMillisecond));
    CHECK_FALSE(retry.take_due(now + kSecond));
    CHECK(retry.on_failure(now, 500) == now + 750 * kMillisecond);
    CHECK(retry.on_failure(now, 0) == now + kSecond);
    CHECK(retry.on_failure(now, 0) == now + kSecond);  // two seconds are a fifth of ten
    retry.on_success();
    CHECK_FALSE(retry.take_due(now + 10 * kSecond));
    CHECK(retry.on_failure(now, 0) == now + 250 * kMillisecond);
}
