#include "scheduler/colocation.h"

namespace whinpost::scheduler {
namespace {

constexpr Nanos kProgramCacheTime = 5 * kSecond;  // workers keep a few programs loaded after their last task
// Age at which the record of a service without tasks on a worker is dropped.
constexpr Nanos kServiceRecordTime = 15 * kSecond;

bool ran_lately(Nanos now, const ColocatedService& colocated) {
    return colocated.last_ran_at && now - colocated.last_ran_at < kProgramCacheTime;
}

}  // namespace

bool is_warm(Nanos now, Worker& worker, const Service* service) {
    const ColocatedService* colocated = worker.find_service(service);
    return colocated && (colocated->tasks > 0 || ran_lately(now, *colocated));
}

void attach_task(Nanos now, Task& task, Worker& worker) {
    task.worker = &worker;
    task.sent_at = now;
    ColocatedService* colocated = worker.find_service(task.service);
    if (!colocated) {
        colocated = &worker.services.emplace_back(ColocatedService{task.service, 0, 0, 0});
        task.service->workers.push_back(&worker);
    }
    worker.tasks.push_back(&task);
    task.warm_start = colocated->running > 0 || ran_lately(now, *colocated);
    ++colocated->tasks;
}

void detach_task(Nanos now, Task& task) {
    Worker& worker = *task.worker;
    ColocatedService* colocated = worker.find_service(task.service);
    --colocated->tasks;
    if (task.running) {
        --colocated->running;
        colocated->last_ran_at = now;
    }
    std::erase(worker.tasks, &task);
    std::erase_if(worker.services, [now, &worker](const ColocatedService& known) {
        if (known.tasks || now - known.last_ran_at <= kServiceRecordTime) return false;
        std::erase(known.service->workers, &worker);
        return true;
    });
    task.worker = nullptr;
}

void mark_running(Nanos now, const Task& task) {
    ColocatedService* colocated = task.worker->find_service(task.service);
    ++colocated->running;
    colocated->last_ran_at = now;
}

void forget_programs(Worker& worker) {
    for (ColocatedService& colocated : worker.services) colocated.last_ran_at = 0;
}

}  // namespace whinpost::scheduler
