// The handle of one task: whatever happens to it after it was submitted is a call on this.
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

// `attempt` counts from 0. A call about a task that has no attempt in flight changes nothing.
class Task {
public:
    void on_accepted(Nanos now, int attempt);
    void on_running(Nanos now, int attempt);  // it runs, where it was accepted earlier
    void on_cores_used(Nanos now, int attempt, double cores);
    void on_memory_used(Nanos now, int attempt, double memory);
    // The share of the asked service that it gets, 1 for all of it.
    void on_service_share(Nanos now, int attempt, double share);
    // The share of its worker's memory that is in use.
    void on_worker_memory(Nanos now, int attempt, double share);
    // closed: no further answer is owed, so that it is not tried again.
    void on_attempt_ended(Nanos now, int attempt, AttemptOutcome, OutcomeReason, bool closed,
                          const LoadReport&);
    void cancel(Nanos now);  // its client does not want it any more
    // Nothing more can come of it: it may be passed to Scheduler::remove().
    bool finished() const { return settled && !worker; }

    // Plain state for embedders and tests to read.
    std::uint64_t tag = 0;  // the embedder's own
    ResourceRequest request;
    Service* service = nullptr;
    const QueueGroup* queue_group = nullptr;
    Nanos submitted_at = 0, deadline = 0;
    bool settled = false;   // it has its final answer, or ended
    bool accepted = false;  // by the worker of the attempt in flight
    bool running = false, has_service_report = false, warm_start = false;
    int attempts = 0;
    Worker* worker = nullptr;  // where its attempt is in flight or it runs
    Nanos sent_at = 0;
    Worker* first_possible_run = nullptr;  // the worker of the first attempt that may have run
    Nanos first_possible_run_at = 0;
    int rounds_without_worker = 0;
    std::size_t health_checks = 0;
    Nanos not_before = 0;  // no selection before this time
    double order = 0;      // see InterferenceModel::placement_order()
    std::vector<Worker*> rejected_by;
    Worker* first_failed_on = nullptr;  // the worker of its first attempt that ended in an error
    bool faulty = false;                // it failed on another worker, too

private:
    friend class SchedulerCore;
    SchedulerCore* scheduler_ = nullptr;
    std::list<std::unique_ptr<Task>>::iterator self_;
    std::list<Task*>::iterator queue_position_;
    bool in_queue_ = false;
};

}  // namespace whinpost
