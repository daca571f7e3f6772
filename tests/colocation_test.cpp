// Which tasks of which services are on a worker.
#include "scheduler/colocation.h"

#include <catch2/catch.hpp>
#include <vector>

#include "support/scheduler_rig.h"

using namespace whinpost;

TEST_CASE(
    "a worker is warm for a service while it has tasks of it, and for five seconds after the last one") {
    Worker worker(1, kSecond, 1);
    Service service(0, 1);
    Task task;
    task.service = &service;
    const Nanos now = 1000 * kSecond;
    CHECK_FALSE(scheduler::is_warm(now, worker, &service));
    scheduler::attach_task(now, task, worker);
    CHECK_FALSE(task.warm_start);
    CHECK(scheduler::is_warm(now, worker, &service));
    CHECK((worker.find_service(&service)->tasks == 1 && service.workers == std::vector<Worker*>{&worker}));
    task.running = true;
    scheduler::mark_running(now, task);
    const Nanos end = now + 20 * kSecond;
    scheduler::detach_task(end, task);
    CHECK(task.worker == nullptr);
    CHECK(worker.tasks.empty());
    CHECK(scheduler::is_warm(end + 4 * kSecond, worker, &service));
    CHECK_FALSE(scheduler::is_warm(end + 5 * kSecond, worker, &service));
    scheduler::forget_programs(worker);
    CHECK_FALSE(scheduler::is_warm(end, worker, &service));
}

TEST_CASE("the record of a service on a worker is dropped some time after its last task there") {
    Worker worker(1, kSecond, 1);
    Service first(0, 1), second(1, 2);
    Task first_task, second_task;
    first_task.service = &first;
    second_task.service = &second;
    const Nanos now = 1000 * kSecond;
    scheduler::attach_task(now, first_task, worker);
    first_task.running = true;
    scheduler::mark_running(now, first_task);
    scheduler::detach_task(now, first_task);
    CHECK(worker.find_service(&first));
    scheduler::attach_task(now + 16 * kSecond, second_task, worker);
    scheduler::detach_task(now + 16 * kSecond, second_task);
    CHECK(worker.find_service(&first) == nullptr);
    CHECK(first.workers.empty());
}
