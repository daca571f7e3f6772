// Outlier detection: failed starts, residual slowdown, late starts.
#include "scheduler/outlier_detection.h"

#include <catch2/catch.hpp>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE(
    "workers that fail starts are avoided while others are left, until the failures are a few seconds old") {
    SchedulerRig rig;
    Worker &failing = rig.add_worker(), &healthy = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    for (int i = 0; i < 6; ++i) failing.outlier.failed_attempts[0].add(rig.now, 1);
    for (int i = 0; i < 8; ++i) CHECK(rig.submit_and_run_round(service).worker == &healthy);
    rig.list(healthy, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    Task& task = rig.submit(service);
    rig.advance(kSecond);
    CHECK(task.worker == &failing);  // the only worker left
    rig.advance(5 * kSecond);
    CHECK(failing.outlier.failed_attempts[0].sum(rig.now) == 0);
}

TEST_CASE("a rejection without a reason counts as a failure of the worker for a few seconds") {
    SchedulerRig rig;
    Worker &rejecting = rig.add_worker(), &other = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    rig.list(other, {0, 0, 0, 16, 32, EndpointPhase::draining, 0});
    Task& first = rig.submit_and_run_round(service);
    REQUIRE(first.worker == &rejecting);
    rig.list(other, {0, 0, 0, 16, 32, EndpointPhase::serving, 0});
    rig.end_attempt(first, AttemptOutcome::rejected);
    for (int i = 0; i < 6; ++i) CHECK(rig.submit_and_run_round(service).worker == &other);
    rig.advance(5 * kSecond);
    CHECK(rejecting.outlier.failed_attempts[0].sum(rig.now) == 0);
}

TEST_CASE("failed starts of one queue group count in full even if another group's starts succeed") {
    SchedulerRig rig({QueueGroup{}, QueueGroup{}});
    Worker &half_failing = rig.add_worker(), &healthy = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    for (int i = 0; i < 40; ++i) half_failing.outlier.started_attempts[1].add(rig.now, 1);
    half_failing.outlier.failed_attempts[0].add(rig.now, 1);
    for (int i = 0; i < 6; ++i) CHECK(rig.submit_and_run_round(service, 0).worker == &healthy);
}

TEST_CASE(
    "a start that takes far longer than usual counts as slowdown only if workers do not report pressure") {
    const bool reports = GENERATE(true, false);
    WorkerAcceptance acceptance = without_pressure_reports();
    acceptance.reports_pressure = reports;
    SchedulerRig rig({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, acceptance);
    Worker& worker = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    const auto start = [&](Nanos took) {
        Task& task = rig.submit_and_run_round(service);
        task.on_accepted(rig.now, 0);
        rig.advance(took);
        task.on_running(rig.now, 0);
    };
    for (int i = 0; i < 12; ++i) start(200 * kMillisecond);
    CHECK(worker.outlier.residual_slowdown == 0);
    start(3 * kSecond);
    CHECK((worker.outlier.residual_slowdown > 0.5) == !reports);
}

TEST_CASE("start latencies are ignored if the scheduler itself was stalled") {
    const bool stalled = GENERATE(true, false);
    SchedulerRig rig({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, without_pressure_reports());
    Worker& worker = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    const auto start = [&](Nanos took, bool stall) {
        Task& task = rig.submit_and_run_round(service);
        task.on_accepted(rig.now, 0);
        if (stall) rig.now += took;
        else rig.advance(took);
        task.on_running(rig.now, 0);
        rig.scheduler.run_round(rig.now);
    };
    for (int i = 0; i < 12; ++i) start(200 * kMillisecond, false);
    start(3 * kSecond, stalled);
    CHECK((worker.outlier.residual_slowdown > 0.5) == !stalled);
}

TEST_CASE(
    "failures of a task that failed twice do not count against its workers, but its attempt timeout does") {
    SchedulerRig rig;
    Worker &first = rig.add_worker(), &second = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    const auto failed = [&] {
        return first.outlier.failed_attempts[0].sum(rig.now) + second.outlier.failed_attempts[0].sum(rig.now);
    };
    Task& task = rig.submit_and_run_round(service);
    rig.end_attempt(task, AttemptOutcome::failed);
    CHECK(failed() == 1);
    rig.advance(100 * kMillisecond);
    REQUIRE(task.worker);
    rig.end_attempt(task, AttemptOutcome::failed);
    CHECK(failed() == 0);
    rig.advance(100 * kMillisecond);
    REQUIRE(task.worker);
    rig.end_attempt(task, AttemptOutcome::failed);
    CHECK(failed() == 0);
    rig.advance(100 * kMillisecond);
    REQUIRE(task.worker);
    rig.end_attempt(task, AttemptOutcome::timed_out);  // a timeout is attributed to the worker
    CHECK(failed() == 1);
}

TEST_CASE("the residual slowdown halves in three seconds, and a restart clears it and the failed attempts") {
    const scheduler::SlowStart slow_start(SchedulerRig::default_slow_start());
    const scheduler::OutlierDetection outliers(1, true, slow_start);
    Worker worker(1, kSecond, 1);
    const Nanos now = 1000 * kSecond;
    Task task;
    CHECK(outliers.is_healthy(now, worker, 1));
    outliers.on_residual_slowdown(now, worker, 0.4);
    CHECK(outliers.residual_slowdown(now, worker) == Approx(0.4));
    CHECK(outliers.residual_slowdown(now + 3 * kSecond, worker) == Approx(0.2));
    CHECK_FALSE(outliers.is_healthy(now, worker, 1));
    CHECK(outliers.is_healthy(now + 9 * kSecond, worker, 1));
    outliers.on_worker_fault(now, task, worker);
    CHECK(outliers.failure_rate(now, worker, 0) == Approx(0.5));
    CHECK(outliers.failure_rate(now + 4 * kSecond, worker, 0) == 0);
    outliers.on_restarted(worker);
    CHECK(outliers.failure_rate(now, worker, 0) == 0);
    CHECK(outliers.is_healthy(now, worker, 1));
}
