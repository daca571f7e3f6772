// Capacity: the load that a worker is taken to hold, its rejections, and the answers that it owes.
#include "scheduler/capacity.h"

#include <catch2/catch.hpp>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("a silent worker gets few attempts, and a full queue halves what it may have waiting") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    for (int i = 0; i < 30; ++i) rig.submit_and_run_round(service);
    CHECK(worker.capacity.unanswered == 8);
    rig.end_attempt(*rig.decisions.front().task, AttemptOutcome::rejected, OutcomeReason::queue_full);
    CHECK(worker.capacity.queue_limit == 4);
    rig.advance(kSecond);
    CHECK(worker.capacity.unanswered == 7);  // nothing more while it owes answers
}

TEST_CASE("a lower priority leaves room for those that would preempt it") {
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

TEST_CASE("what a draining worker sends away is not offered to it again, until it restarts") {
    SchedulerRig rig;
    Worker &draining = rig.add_worker(), &other = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    rig.list(other,
             {0, 0, 0, 0, 0, EndpointPhase::serving, 0});  // full: the first goes to the one that will drain
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
    "a worker's load is what the list and this scheduler's own late changes say, until a report says more") {
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

TEST_CASE("the use of cores follows the reports of tasks: before any, between none and all of it") {
    CapacityRig rig;
    CHECK(rig.capacity.core_use_ratio() == Approx(0.7));
    rig.capacity.on_cores_used(rig.task, 0.5);
    CHECK(rig.capacity.core_use_ratio() == Approx(0.25));
    CHECK(rig.capacity.load(rig.now, rig.worker, rig.task.request).used_cores == Approx(6 * 0.25));
}

TEST_CASE("a rejection for want of cores holds for requests of that size for a while") {
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
