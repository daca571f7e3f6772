// The interface between a server and its planner: the server reports events through Planner, the planner
// announces its decisions through PlannerHandler.
//
// Tasks and workers are identified by numbers, so that the same calls could be messages between two
// processes. The server assigns the numbers and never uses one twice in its lifetime.
#pragma once
#include <cstdint>
#include <string_view>

#include "whinpost/scheduler.h"
#include "whinpost/stable_hash.h"

namespace whinpost::planner {

using TaskNumber = std::uint64_t;
using WorkerNumber = std::uint32_t;

// Called by the server. `attempt` numbers a task's attempts from 0, in the order of the place() calls.
class Planner {
public:
    virtual ~Planner() = default;
    // `stable_hash` identifies a worker, and `service` a service, by the same number at every placer.
    virtual void on_endpoint(Nanos now, WorkerNumber, std::uint64_t stable_hash, const EndpointState&) = 0;
    // Called after the on_endpoint() calls of one watch event; the planner may now update what depends on the
    // whole endpoint list.
    virtual void on_watch_event_done(Nanos now, bool is_snapshot) = 0;
    virtual void on_watch_failed(Nanos now) = 0;
    virtual void start(Nanos now) = 0;
    virtual void submit(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&) = 0;
    virtual void adopt(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&,
                       WorkerNumber) = 0;
    virtual void on_accepted(Nanos now, TaskNumber, int attempt) = 0;
    virtual void on_running(Nanos now, TaskNumber, int attempt) = 0;
    virtual void on_cores_used(Nanos now, TaskNumber, int attempt, double) = 0;
    virtual void on_memory_used(Nanos now, TaskNumber, int attempt, double) = 0;
    virtual void on_service_share(Nanos now, TaskNumber, int attempt, double) = 0;
    virtual void on_worker_memory(Nanos now, TaskNumber, int attempt, double) = 0;
    // `closed`: the task is over and no further attempt may follow.
    virtual void on_attempt_ended(Nanos now, TaskNumber, int attempt, AttemptOutcome, OutcomeReason,
                                  bool closed, const LoadReport&) = 0;
    virtual void cancel(Nanos now, TaskNumber) = 0;
    virtual void on_load_report(Nanos now, WorkerNumber, const LoadReport&) = 0;
    // `held`: the number of attempts that may be sent now to a worker in slow start; -1 if the worker issues
    // no admission tokens.
    virtual void set_admission_tokens(Nanos now, WorkerNumber, int held) = 0;
    virtual void run_round(Nanos now) = 0;  // to be called after each batch of events
};

// Called by the planner from within its own calls. An implementation must not call the planner from here.
class PlannerHandler {
public:
    virtual ~PlannerHandler() = default;
    virtual void place(TaskNumber, WorkerNumber, Nanos time_out) = 0;
    virtual void reject(TaskNumber, Nanos retry_after) = 0;
    virtual void fail(TaskNumber) = 0;
    // Stops the running task on its worker, so that its client requests a new placement.
    virtual void migrate(TaskNumber) = 0;
    virtual void cancel_attempt(TaskNumber, int attempt) = 0;
    virtual void check_health(WorkerNumber) = 0;
    virtual void watch_endpoints() = 0;
    virtual void fetch_endpoints() = 0;
    // Requests a round at `at` or earlier.
    virtual void wake_at(Nanos at) = 0;
    virtual void log(std::string_view line) = 0;
};

}  // namespace whinpost::planner
