// Migration: which running tasks are moved.
#include "scheduler/migration.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("a report of a low service share migrates idempotent tasks, and no others") {
    const Effect effect = GENERATE(Effect::idempotent, Effect::keyed, Effect::side_effecting);
    QueueGroup group = queue_group(effect);
    group.start_value_s = 10;
    SchedulerRig rig({group});
    Worker &slow = rig.add_worker(), &healthy = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    rig.list(healthy, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    std::vector<Task*> tasks;
    for (int i = 0; i < 6; ++i) {
        tasks.push_back(&rig.submit_and_run_round(service));
        tasks.back()->on_accepted(rig.now, 0);
        tasks.back()->on_running(rig.now, 0);
    }
    REQUIRE(tasks[0]->worker == &slow);
    rig.list(healthy, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    rig.advance(2 * kSecond);
    tasks[0]->on_service_share(rig.now, 0, 0.3);
    rig.advance(500 * kMillisecond);
    CHECK(rig.count(DecisionKind::migrate) == (effect == Effect::idempotent ? 1 : 0));
}

TEST_CASE(
    "a running task whose acceptance was lost is not migrated, because its attempt is still in flight") {
    const bool accepted = GENERATE(true, false);
    QueueGroup group;
    group.start_value_s = 10;
    SchedulerRig rig({group});
    Worker &slow = rig.add_worker(), &healthy = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    rig.list(healthy, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    std::vector<Task*> tasks;
    for (int i = 0; i < 6; ++i) {
        tasks.push_back(&rig.submit_and_run_round(service));
        if (accepted) tasks.back()->on_accepted(rig.now, 0);
        tasks.back()->on_running(rig.now, 0);
    }
    REQUIRE(tasks[0]->worker == &slow);
    rig.list(healthy, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    tasks[0]->on_service_share(rig.now, 0, 0.3);
    CHECK(rig.count(DecisionKind::migrate) == (accepted ? 1 : 0));
}

TEST_CASE(
    "at most one task a second leaves a worker, only if the gain exceeds the price and the fleet is not "
    "full") {
    const WorkerKind kind{16, 32};
    Worker worker(1, kSecond, 1);
    worker.kind = &kind;
    worker.endpoint.free_cores = 16;
    worker.outlier.residual_slowdown = 1;
    Service service(0, 1);
    QueueGroup group;
    group.start_value_s = 10;
    Task task;
    task.service = &service;
    task.queue_group = &group;
    task.worker = &worker;
    std::ranlux24_base random(1);
    Prices prices;
    const scheduler::Migration migration(prices);
    const Nanos now = 1000 * kSecond;
    CHECK_FALSE(migration.should_migrate(now, task, 0.9, random));
    CHECK(migration.should_migrate(now, task, 0.5, random));
    CHECK_FALSE(migration.should_migrate(now + kSecond / 2, task, 0.5, random));
    CHECK(migration.should_migrate(now + kSecond, task, 0.5, random));
    worker.outlier.residual_slowdown = 0.2;
    CHECK_FALSE(migration.should_migrate(now + 2 * kSecond, task, 0.5, random));
    worker.outlier.residual_slowdown = 1;
    prices.migrations = 0.2;
    CHECK_FALSE(scheduler::Migration(prices).should_migrate(now + 3 * kSecond, task, 0.5, random));
}
