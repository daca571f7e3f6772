// The handle of one task. Events after its submission are reported by calls on it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

#include "whinpost/attempt_outcome.h"
#include "whinpost/endpoint_state.h"
#include "whinpost/queue_group.h"
#include "whinpost/resource_request.h"

namespace whinpost {

class SchedulerCore;
struct Service;
struct Worker;

// `attempt` counts from 0. An event of an attempt is ignored if the task has no worker.
class Task {
public:
    void on_accepted(Nanos now, int attempt);
    void on_running(Nanos now, int attempt);  // the task runs, after an earlier acceptance
    void on_cores_used(Nanos now, int attempt, double cores);
    void on_memory_used(Nanos now, int attempt, double memory);
    // The share of the requested service that the task gets; 1 is full service.
    void on_service_share(Nanos now, int attempt, double share);
    // The share of its worker's memory that is in use.
    void on_worker_memory(Nanos now, int attempt, double share);
    // closed: the task needs no further answer, so it is not retried.
    void on_attempt_ended(Nanos now, int attempt, AttemptOutcome, OutcomeReason, bool closed,
                          const LoadReport&);
    void cancel(Nanos now);  // its client no longer wants it
    // True if no more events can follow, and the task may be passed to Scheduler::remove().
    bool finished() const { return settled && !worker; }

    // Plain state for embedders and tests to read.
    std::uint64_t tag = 0;  // for use by the embedder
    ResourceRequest request;
    Service* service = nullptr;
    const QueueGroup* queue_group = nullptr;
    Nanos submitted_at = 0, deadline = 0;
    bool settled = false;   // it got its final answer, or has ended
    bool accepted = false;  // by the worker of the attempt in flight
    bool running = false, has_service_report = false, warm_start = false;
    int attempts = 0;
    Worker* worker = nullptr;  // the worker that its attempt was sent to or that runs it, else null
    Nanos sent_at = 0;
    Worker* first_possible_run = nullptr;  // the worker of the first attempt that may have run
    Nanos first_possible_run_at = 0;
    int rounds_without_worker = 0;
    std::size_t health_checks = 0;
    Nanos not_before = 0;  // no selection before this time
    double order = 0;      // see InterferenceModel::placement_order()
    std::vector<Worker*> rejected_by;
    // The worker of its first attempt that ended as AttemptOutcome::failed.
    Worker* first_failed_on = nullptr;
    bool faulty = false;  // it failed a second time

private:
    friend class SchedulerCore;
    SchedulerCore* scheduler_ = nullptr;
    std::list<std::unique_ptr<Task>>::iterator self_;
    std::list<Task*>::iterator queue_position_;
    bool in_queue_ = false;
};

}  // namespace whinpost
