// The interference model: what it predicts, and what it learns from observed slowdowns.
#include "scheduler/interference_model.h"

#include <catch2/catch.hpp>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE("with one known neighbour the pair value is learned, with several their weights") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    Service &first = rig.scheduler.add_service(1), &second = rig.scheduler.add_service(1),
            &third = rig.scheduler.add_service(1);
    Task& task = rig.submit_and_run_round(first);
    task.on_accepted(rig.now, 0);
    rig.submit_and_run_round(second).on_accepted(rig.now, 0);
    CHECK(rig.scheduler.predicted_slowdown(worker, first) == Approx(0.006));
    for (int i = 0; i < 40; ++i) task.on_service_share(rig.now, 0, 0.5);
    CHECK(first.neighbours.at(second.number).slowdown == Approx(1.0).epsilon(0.01));
    CHECK(first.neighbours.at(second.number).weight == Approx(1.0));
    rig.submit_and_run_round(third).on_accepted(rig.now, 0);
    const double before = first.neighbours.at(second.number).weight;
    task.on_service_share(rig.now, 0, 0.2);
    CHECK(first.neighbours.at(second.number).weight > before);
    CHECK(first.neighbours.at(third.number).weight > 1.0);
}

TEST_CASE("load requested by the tasks of other schedulers counts with the mean pair value") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    Service& service = rig.scheduler.add_service(1);
    rig.list(worker, {0, 0, 0, 8, 32, EndpointPhase::serving, 0});
    CHECK(rig.scheduler.predicted_slowdown(worker, service) == Approx(0.003 * 0.5));
    rig.submit_and_run_round(service);
    CHECK(rig.scheduler.predicted_slowdown(worker, service) == Approx(0.003 + 0.003 * 7 / 16));
}

TEST_CASE(
    "if most load is from other schedulers, one bad report does not put the only known neighbour over the "
    "limit") {
    SchedulerRig rig;
    Worker& worker = rig.add_worker();
    Service &first = rig.scheduler.add_service(1), &second = rig.scheduler.add_service(2);
    Task& task = rig.submit_and_run_round(first);
    rig.submit_and_run_round(second);
    // 40 cores are requested, two of them by this scheduler's tasks.
    rig.list(worker, {0, 0, 0, -24, 32, EndpointPhase::serving, 0});
    task.on_accepted(rig.now, 0);
    task.on_service_share(rig.now, 0, 0.3);
    CHECK(first.neighbours.at(second.number).slowdown < 0.05);
}

TEST_CASE(
    "a task that ends without a service share report counts as full service only if workers send such "
    "reports") {
    const bool reports = GENERATE(true, false);
    WorkerAcceptance acceptance = without_pressure_reports();
    acceptance.reports_pressure = reports;
    SchedulerRig rig({QueueGroup{}}, SchedulerRig::default_slow_start(), {}, 4, acceptance);
    rig.add_worker();
    Service &service = rig.scheduler.add_service(1), &beside = rig.scheduler.add_service(2);
    rig.submit_and_run_round(beside);
    Task& task = rig.submit_and_run_round(service);
    task.on_accepted(rig.now, 0);
    task.on_running(rig.now, 0);
    rig.advance(kSecond);
    rig.end_attempt(task, AttemptOutcome::completed, OutcomeReason::unspecified, true);
    const auto pair = service.neighbours.find(beside.number);
    CHECK((pair != service.neighbours.end()) == reports);
    if (reports) CHECK(pair->second.slowdown < 0.003);
}

TEST_CASE(
    "the placement order falls with a service's mean slowdown and grows with the cores that its tasks use") {
    scheduler::InterferenceModel model;
    Service service(0, 1);
    model.init(service);
    Task task;
    task.service = &service;
    task.request.cores = 2;
    // The mean slowdown is below its lower bound of 0.01.
    CHECK(model.placement_order(task) == Approx(2 / 0.01));
    service.mean_slowdown = 0.5;
    CHECK(model.placement_order(task) == Approx(2 / 0.5));
    model.observe_cores(service, 1);
    CHECK(model.placement_order(task) == Approx(1 / 0.5));
}

TEST_CASE("warm start latency is the median of the latest fifteen, cold start latency a moving average") {
    scheduler::InterferenceModel model;
    const WorkerKind kind{16, 32};
    Worker worker(1, kSecond, 1);
    worker.kind = &kind;
    Service service(0, 1);
    model.init(service);
    Task task;
    task.service = &service;
    task.worker = &worker;
    for (const double latency_s : {1.0, 2.0}) model.observe_start(task, latency_s);
    CHECK(service.mean_cold_start_s == Approx(1.2));
    CHECK(service.warm_starts_s.empty());
    task.warm_start = true;
    for (int i = 0; i < 30; ++i) model.observe_start(task, i == 20 ? 100 : 0.1);
    CHECK(service.warm_starts_s.size() == 15);
    CHECK(service.median_warm_start_s == Approx(0.1));
}
