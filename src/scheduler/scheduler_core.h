// Owns the scheduler's modules, the tasks and the queue, and runs the scheduling rounds. Constants that tune
// a module belong to that module.
#pragma once
#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <vector>

#include "scheduler/active_set.h"
#include "scheduler/candidate_selection.h"
#include "scheduler/capacity.h"
#include "scheduler/endpoint_list.h"
#include "scheduler/health_check.h"
#include "scheduler/interference_model.h"
#include "scheduler/migration.h"
#include "scheduler/outlier_detection.h"
#include "scheduler/retry_policy.h"
#include "scheduler/scheduler_config.h"
#include "scheduler/slow_start.h"
#include "scheduler/watch_retry.h"
#include "whinpost/decision_handler.h"
#include "whinpost/service.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost {

// Each public function implements the function of the same name of Scheduler or Task, and is documented
// there.
class SchedulerCore {
public:
    SchedulerCore(DecisionHandler&, std::uint64_t seed, scheduler::SchedulerConfig);
    SchedulerCore(const SchedulerCore&) = delete;
    SchedulerCore& operator=(const SchedulerCore&) = delete;

    Worker& add_worker(std::uint64_t name_hash);
    Service& add_service(std::uint64_t name_hash);
    void update_endpoint(Worker&, const EndpointState&);
    void on_watch_event_done(Nanos now, bool complete);
    void on_watch_failed(Nanos now);
    void on_load_report(Nanos now, Worker&, const LoadReport&);
    void start(Nanos now);
    Task& submit(Nanos now, Service&, const ResourceRequest&, std::uint64_t tag);
    Task& adopt(Nanos now, Service&, const ResourceRequest&, Worker&, std::uint64_t tag);
    void remove(Task&);
    void run_round(Nanos now);

    void on_accepted(Nanos now, Task&);
    void on_running(Nanos now, Task&);
    void on_cores_used(const Task&, double cores);
    void on_memory_used(const Task&, double memory);
    void on_service_share(Nanos now, Task&, double share);
    void on_worker_memory(Nanos now, const Task&, double share);
    void on_attempt_ended(Nanos now, Task&, AttemptOutcome, OutcomeReason, bool closed, const LoadReport&);
    void close(Task&);

    const scheduler::InterferenceModel& interference() const { return interference_; }
    const scheduler::RetryPolicy& retry() const { return retry_; }

private:
    void enqueue(Task&);
    void dequeue(Task&);
    void send_answer(Task&);
    bool was_stalled(Nanos now) const;
    void on_started(Nanos now, Task&);
    void on_completed(Nanos now, Task&);
    void on_attempt_rejected(Nanos now, Task&, Worker&, OutcomeReason);
    std::vector<Task*> queue_in_order();
    bool try_to_place(Nanos now, Task&);
    void send_attempt(Nanos now, Task&, Worker&);
    void wait_for_room(Nanos now, Task&);
    void wake_for_queue(Nanos now);
    void wake_no_later_than(Nanos now, Nanos at);

    DecisionHandler& handler_;
    const scheduler::SchedulerConfig config_;
    std::ranlux24_base random_;
    scheduler::EndpointList endpoints_;
    scheduler::WatchRetry watch_retry_;
    scheduler::InterferenceModel interference_;
    scheduler::SlowStart slow_start_;
    scheduler::Capacity capacity_;
    scheduler::OutlierDetection outliers_;
    scheduler::HealthChecks health_checks_;
    scheduler::RetryPolicy retry_;
    scheduler::ActiveSet active_set_;
    scheduler::Migration migration_;
    scheduler::CandidateSelection candidates_;
    std::list<Service> services_;
    std::list<std::unique_ptr<Task>> tasks_;
    std::list<Task*> queue_;  // tasks without an attempt in flight, in the order in which they were queued
    Nanos last_round_at_ = 0, next_wake_at_ = 0;
};

}  // namespace whinpost
