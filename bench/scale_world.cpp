#include "scale_world.h"

#include <time.h>

#include <string>

#include "whinpost/stable_hash.h"

namespace whinpost::bench {
namespace {

constexpr WorkerKind kWorkerKind{16, 32};
constexpr double kTaskCores = 1, kTaskMemory = 1;
constexpr Nanos kTaskRuntime = 2 * kSecond;
constexpr int kWorkersPerCell = 40;
constexpr double kFullWorkerFreeCores = -1.5 * kWorkerKind.cores;  // uses up the overcommit of kAcceptance
constexpr WorkerAcceptance kAcceptance{2.5, 1.5, false, false, true, false, true};
constexpr RetrySettings kRetry{4, true};
constexpr std::uint64_t kSeed = 5;
constexpr double kPriceOfWorkersInUse = 0.02;

std::vector<QueueGroup> queue_groups(int count) {
    std::vector<QueueGroup> groups(static_cast<std::size_t>(count));
    for (QueueGroup& group : groups) {
        group.start_objective = 800 * kMillisecond;
        group.start_value_s = 10;
        group.full_service_utilization = 0.8;
        group.degradation_range = 0.25;
    }
    return groups;
}

}  // namespace

double processor_seconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

ScaleWorld::ScaleWorld(const ScaleSizes& sizes)
    : sizes_(sizes), slow_start_{0.25, 10 * kSecond, 3, 2 * kSecond, 40, sizes.placers, 0},
      ledger_(queue_groups(sizes.queue_groups), kRetry, slow_start_),
      planner_(*this, kSeed, 0, queue_groups(sizes.queue_groups), {kWorkerKind}, kAcceptance, slow_start_, {},
               kRetry, Prices{kPriceOfWorkersInUse}) {}

void ScaleWorld::list_all_workers(bool full) {
    for (int i = 0; i < sizes_.workers; ++i) {
        EndpointState state{i % sizes_.zones,   i / kWorkersPerCell,    0, kWorkerKind.cores,
                            kWorkerKind.memory, EndpointPhase::serving, 0};
        if (full) state.free_cores = kFullWorkerFreeCores;
        endpoints_.push_back(state);
        workers_.push_back(&ledger_.add_worker("worker-" + std::to_string(i)));
        deliver_endpoint(i);
    }
    planner_.on_watch_event_done(now_, true);
    planner_.start(now_);
}

void ScaleWorld::adopt_tasks(int count) {
    for (int i = 0; i < count; ++i) {
        const auto worker = static_cast<std::size_t>(i % sizes_.workers);
        const std::uint64_t service = service_of(i);
        const ResourceRequest request = request_of(i);
        const ledger::TaskRecord& task =
            ledger_.adopt_task(now_, "recovered", service, request, *workers_[worker]);
        planner_.adopt(now_, task.number, service, request, static_cast<planner::WorkerNumber>(worker));
    }
}

void ScaleWorld::watch_event(const std::vector<int>& workers) {
    timed([&] {
        for (const int worker : workers) deliver_endpoint(worker);
        planner_.on_watch_event_done(now_, false);
        planner_.run_round(now_);
    });
    carry_out_placements();
}

void ScaleWorld::submit_tasks(int count) {
    for (int i = 0; i < count; ++i) {
        const int index = submitted_++;
        const std::uint64_t service = service_of(index);
        const ledger::TaskRecord& task = ledger_.create_task(now_, "task", service, request_of(index));
        planner_.submit(now_, task.number, service, request_of(index));
    }
}

void ScaleWorld::run_round() {
    timed([&] { planner_.run_round(now_); });
    carry_out_placements();
}

void ScaleWorld::advance(Nanos duration) {
    now_ += duration;
    while (!running_.empty() && running_.front().ends_at <= now_) {
        complete(running_.front().task);
        running_.pop_front();
    }
}

std::uint64_t ScaleWorld::service_of(int task) const {
    return stable_hash("service-" + std::to_string(task % sizes_.services));
}

ResourceRequest ScaleWorld::request_of(int task) const {
    ResourceRequest request;
    request.cores = kTaskCores;
    request.memory = kTaskMemory;
    request.queue_group = task % sizes_.queue_groups;
    request.time_left = kQueueTimeout;
    return request;
}

void ScaleWorld::deliver_endpoint(int worker) {
    const auto index = static_cast<std::size_t>(worker);
    ledger_.on_endpoint(now_, *workers_[index], endpoints_[index]);
    planner_.on_endpoint(now_, static_cast<planner::WorkerNumber>(worker), workers_[index]->name_hash,
                         endpoints_[index]);
}

void ScaleWorld::record_answer(planner::TaskNumber number) {
    ledger::TaskRecord* task = ledger_.find_task(number);
    if (!task) return;
    answered_in_time_ += now_ <= task->deadline;
    ledger_.record_answer(now_, *task, ledger_.rejected_or_failed(*task));
    if (task->closed) ledger_.erase_task(*task);
}

void ScaleWorld::carry_out_placements() {
    for (const Placement& placement : std::exchange(placements_, {})) start_attempt(placement);
}

void ScaleWorld::start_attempt(const Placement& placement) {
    ledger::TaskRecord* task = ledger_.find_task(placement.task);
    ledger::Attempt* attempt =
        task ? ledger_.start_attempt(now_, *task, *workers_[placement.worker], kSecond).value_or(nullptr)
             : nullptr;
    if (!attempt) {
        planner_.on_attempt_ended(now_, placement.task, 0, AttemptOutcome::not_sent,
                                  OutcomeReason::unspecified, false, {});
        return;
    }
    answered_in_time_ += now_ <= task->deadline;
    ledger_.on_accepted(now_, *attempt);
    planner_.on_accepted(now_, placement.task, 0);
    running_.push_back({now_ + kTaskRuntime, placement.task});
}

void ScaleWorld::complete(planner::TaskNumber number) {
    ledger::TaskRecord* task = ledger_.find_task(number);
    if (task->in_flight) ledger_.on_ended(now_, *task->in_flight, AttemptOutcome::completed);
    planner_.on_attempt_ended(now_, number, 0, AttemptOutcome::completed, OutcomeReason::unspecified, true,
                              {});
    ledger_.erase_task(*task);
}

}  // namespace whinpost::bench
