// Capacity: a worker's estimated load, its recent rejections and its unanswered attempts.
#include "scheduler/capacity.h"

#include <catch2/catch.hpp>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("unanswered attempts per worker are limited, and a rejection as queue_full halves the limit") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    for (int i = 0; i < 30; ++i) rig.submit_and_run_round(service);
    CHECK(worker.capacity.unanswered == 8);
    rig.end_attempt(*rig.decisions.front().task, AttemptOutcome::rejected, OutcomeReason::queue_full);
    CHECK(worker.capacity.queue_limit == 4);
    rig.advance(kSecond);
    CHECK(worker.capacity.unanswered == 7);  // no further attempt while answers are overdue
}

TEST_CASE("a task leaves room for queue groups of higher priority only if workers preempt") {
    WorkerAcceptance acceptance{2.5, 1.2};
    acceptance.preempts = GENERATE(true, false);
    QueueGroup low, high;
    high.priority = 1;
    SchedulerRig rig({low, high}, SchedulerRig::default_slow_start(), {}, 4, acceptance);
    Worker& worker = rig.add_worker();
    rig.list(worker, {0, 0, 0, 16, 32 - 1.2 * 32 * 0.93, EndpointPhase::serving, 0});
    Task &low_task = rig.submit_and_run_round(rig.scheduler.add_service(1), 0),
         &high_task = rig.submit_and_run_round(rig.scheduler.add_service(2), 1);
    rig.advance(200 * kMillisecond);
    CHECK(high_task.worker == &worker);
    CHECK((low_task.worker == &worker) == !acceptance.preempts);
}

TEST_CASE("tasks that a draining worker ended are not placed there again until it restarts") {
    SchedulerRig rig;
    Worker &draining = rig.add_worker(), &other = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    // `other` is full, so that the first task is placed on `draining`.
    rig.list(other, {0, 0, 0, 0, 0, EndpointPhase::serving, 0});
    Task& task = rig.submit_and_run_round(service);
    REQUIRE(task.worker == &draining);
    task.on_accepted(rig.now, 0);
    task.on_running(rig.now, 0);
    rig.list(other, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    rig.end_attempt(task, AttemptOutcome::reset, OutcomeReason::drained, true);
    for (int i = 0; i < 6; ++i) {
        Task& again = rig.submit(service);
        rig.advance(100 * kMillisecond);
        REQUIRE(again.worker == &other);
        again.on_accepted(rig.now, 0);
    }
    rig.list(draining, {0, 0, 0, 16, 32, EndpointPhase::serving, rig.now - 30 * kSecond});
    rig.list(other, {0, 0, 0, -1e9, -1e9, EndpointPhase::serving, 0});
    CHECK(rig.submit_and_run_round(service).worker == &draining);
}

namespace {

struct CapacityRig {
    CapacityRig() {
        worker.kind = &kind;
        worker.endpoint.free_cores = 12;
        worker.endpoint.free_memory = 24;
        task.queue_group = &groups[0];
        task.request.cores = 2;
        task.request.memory = 1;
    }
    const WorkerKind kind{16, 32};
    const WorkerAcceptance acceptance{2.5, 1.5};
    const std::vector<QueueGroup> groups{QueueGroup{}};
    const scheduler::SlowStart slow_start{SchedulerRig::default_slow_start()};
    scheduler::Capacity capacity{acceptance, groups, slow_start};
    Worker worker{1, kSecond, 1};
    Task task;
    const Nanos now = 1000 * kSecond;
};

}  // namespace

TEST_CASE(
    "a worker's load is the endpoint list plus this scheduler's recent changes, or a current report if "
    "higher") {
    CapacityRig rig;
    CHECK(rig.capacity.load(rig.now, rig.worker, rig.task.request).requested_cores == Approx(6));
    rig.capacity.on_attempt_sent(rig.now, rig.task, rig.worker);
    CHECK(rig.worker.capacity.own_cores == Approx(2));
    CHECK(rig.capacity.load(rig.now, rig.worker, rig.task.request).requested_cores == Approx(8));
    CHECK(rig.capacity.load(rig.now + 2 * kSecond, rig.worker, rig.task.request).requested_cores ==
          Approx(6));
    LoadReport report;
    report.free_cores = 4;
    report.has_free_cores = true;
    const Nanos later = rig.now + 2 * kSecond;
    rig.capacity.on_load_report(later, rig.worker, report);
    CHECK(rig.capacity.load(later, rig.worker, rig.task.request).requested_cores == Approx(14));
    CHECK(rig.capacity.load(later + 3 * kSecond, rig.worker, rig.task.request).requested_cores == Approx(6));
}

TEST_CASE(
    "the ratio of used to requested cores is 0.7 before the first report, and then that of the reports") {
    CapacityRig rig;
    CHECK(rig.capacity.core_use_ratio() == Approx(0.7));
    rig.capacity.on_cores_used(rig.task, 0.5);
    CHECK(rig.capacity.core_use_ratio() == Approx(0.25));
    CHECK(rig.capacity.load(rig.now, rig.worker, rig.task.request).used_cores == Approx(6 * 0.25));
}

TEST_CASE("after a rejection as no_cores, requests of that size are not placed there for 700 ms") {
    CapacityRig rig;
    CHECK(rig.capacity.has_room(rig.now, rig.task, rig.worker));
    rig.capacity.on_rejected(rig.now, rig.task, rig.worker, OutcomeReason::no_cores);
    CHECK_FALSE(rig.capacity.has_room(rig.now, rig.task, rig.worker));
    rig.task.request.cores = 1;
    CHECK(rig.capacity.has_room(rig.now, rig.task, rig.worker));
    rig.task.request.cores = 2;
    CHECK(rig.capacity.has_room(rig.now + 700 * kMillisecond, rig.task, rig.worker));
    rig.capacity.on_drained(rig.now, rig.worker);
    CHECK_FALSE(rig.capacity.has_room(rig.now + 4 * kSecond, rig.task, rig.worker));
    rig.capacity.on_restarted(rig.worker);
    CHECK(rig.capacity.has_room(rig.now + 4 * kSecond, rig.task, rig.worker));
}
