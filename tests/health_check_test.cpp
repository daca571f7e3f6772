// Health checks before a placement.
#include "scheduler/health_check.h"

#include <catch2/catch.hpp>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE(
    "a worker without a recent report is checked before a placement, and its report may change the "
    "selection") {
    WorkerAcceptance acceptance{2.5, 1.5, false, true, false, false};
    SchedulerRig rig({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, acceptance);
    Worker &one = rig.add_worker(), &two = rig.add_worker();
    Task& task = rig.submit_and_run_round(rig.scheduler.add_service(1));
    REQUIRE(rig.count(DecisionKind::place) == 0);
    REQUIRE(rig.count(DecisionKind::check_health) == 1);
    Worker &checked = *rig.decisions.back().worker, &other = &checked == &one ? two : one;
    rig.now += 20 * kMillisecond;
    LoadReport busy_report;
    busy_report.utilization = 1.2;
    busy_report.has_utilization = true;
    rig.scheduler.on_load_report(rig.now, checked, busy_report);
    rig.scheduler.run_round(rig.now);
    CHECK(rig.decisions.back().worker == &other);
    rig.advance(kSecond);  // `other` never answers its check
    CHECK(task.worker == &checked);
    CHECK(rig.count(DecisionKind::check_health) == 2);
}

TEST_CASE("a worker with a recent report gets a task without a check, and checks per task are limited") {
    QueueGroup group;
    group.start_value_s = 10;
    SchedulerRig rig({group}, SchedulerRig::default_slow_start(), {}, 4,
                     {2.5, 1.5, false, true, false, false});
    for (int i = 0; i < 20; ++i) rig.add_worker();
    Task& task = rig.submit(rig.scheduler.add_service(1));
    rig.advance(2 * kSecond);
    REQUIRE(task.worker);
    CHECK(rig.count(DecisionKind::check_health) == 3);
    task.on_accepted(rig.now, 0);
    rig.scheduler.on_load_report(rig.now, *task.worker, {});
    Task& next = rig.submit_and_run_round(*task.service);
    CHECK(next.worker == task.worker);
    CHECK(rig.count(DecisionKind::check_health) == 3);
}

TEST_CASE("an empty report in answer to a health check ends the wait of the task") {
    WorkerAcceptance acceptance{2.5, 1.5};
    acceptance.health_checks = true;
    SchedulerRig rig({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, acceptance);
    Worker& worker = rig.add_worker();
    Task& task = rig.submit_and_run_round(rig.scheduler.add_service(1));
    REQUIRE(rig.count(DecisionKind::check_health) == 1);
    REQUIRE_FALSE(task.worker);
    rig.now += 5 * kMillisecond;
    rig.scheduler.on_load_report(rig.now, worker, {});
    rig.scheduler.run_round(rig.now);
    CHECK(task.worker == &worker);
}

TEST_CASE("a health check is overdue from 100 ms to two seconds after it was sent, unless a report arrives") {
    const scheduler::HealthChecks checks({2.5, 1.5, false, true, false, false}, {});
    SchedulerRig rig;
    Worker worker(1, kSecond, 1);
    Task task;
    const Nanos now = 1000 * kSecond;
    CHECK(checks.check_first(now, task, worker, rig));
    CHECK(rig.count(DecisionKind::check_health) == 1);
    CHECK(task.not_before == now + 100 * kMillisecond);
    CHECK_FALSE(checks.is_overdue(now + 99 * kMillisecond, worker));
    CHECK(checks.is_overdue(now + 100 * kMillisecond, worker));
    CHECK_FALSE(checks.is_overdue(now + 2 * kSecond, worker));
    checks.on_report(now + 200 * kMillisecond, worker);
    CHECK_FALSE(checks.is_overdue(now + 200 * kMillisecond, worker));
    CHECK_FALSE(checks.check_first(now + 300 * kMillisecond, task, worker, rig));
}
