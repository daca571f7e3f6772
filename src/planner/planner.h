// The interface between a server and the planner: what the server reports one way, what the planner decides
// the other.
//
// In one process the two sides call each other; in two processes the same calls would be messages. So both
// sides name tasks and workers by numbers, which are the server's and are never used twice in its lifetime.
#pragma once
#include <cstdint>
#include <string_view>

#include "whinpost/scheduler.h"
#include "whinpost/stable_hash.h"

namespace whinpost::planner {

using TaskNumber = std::uint64_t;
using WorkerNumber = std::uint32_t;

// Called by the server. Attempts of a task are counted from 0, in the order of the planner's place() calls.
class Planner {
public:
    virtual ~Planner() = default;
    // `stable_hash`: the same number for the same worker at every placer, as `service` is for a service.
    virtual void on_endpoint(Nanos now, WorkerNumber, std::uint64_t stable_hash, const EndpointState&) = 0;
    // The workers that changed were all reported; the planner may now derive what depends on all of them.
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
    // `closed`: the task has its final answer.
    virtual void on_attempt_ended(Nanos now, TaskNumber, int attempt, AttemptOutcome, OutcomeReason,
                                  bool closed, const LoadReport&) = 0;
    virtual void cancel(Nanos now, TaskNumber) = 0;
    virtual void on_load_report(Nanos now, WorkerNumber, const LoadReport&) = 0;
    // So many attempts may be sent to the worker now while it is in slow start; -1: it issues no tokens.
    virtual void set_admission_tokens(Nanos now, WorkerNumber, int held) = 0;
    virtual void run_round(Nanos now) = 0;  // after the events of one moment
};

// Called by the planner, within its own calls: the planner must not be called from here.
class PlannerHandler {
public:
    virtual ~PlannerHandler() = default;
    virtual void place(TaskNumber, WorkerNumber, Nanos time_out) = 0;
    virtual void reject(TaskNumber, Nanos retry_after) = 0;
    virtual void fail(TaskNumber) = 0;
    // Stops the task where it runs, so that its client asks for it anew.
    virtual void migrate(TaskNumber) = 0;
    virtual void cancel_attempt(TaskNumber, int attempt) = 0;
    virtual void check_health(WorkerNumber) = 0;
    virtual void watch_endpoints() = 0;
    virtual void fetch_endpoints() = 0;
    // A round is to run then, or earlier.
    virtual void wake_at(Nanos at) = 0;
    virtual void log(std::string_view line) = 0;
};

}  // namespace whinpost::planner
