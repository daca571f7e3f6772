// Between edge and planner: what the edge tells one way, what the planner decides the other. In one process
// the two sides call each other; in two the same calls are messages, so both sides name containers and nodes
// by numbers, which are the edge's own and are never used twice in its life.
#pragma once
#include <cstdint>
#include <string_view>

#include "whinpost/scheduler.h"
#include "whinpost/stable_hash.h"

namespace whinpost::planner {

using TaskNumber = std::uint64_t;
using WorkerNumber = std::uint32_t;

class Planner {
public:
    virtual ~Planner() = default;
    // `mark`: the same number for the same node, or service, at every placer; it says nothing else.
    virtual void on_endpoint(Nanos now, WorkerNumber, std::uint64_t mark, const EndpointState&) = 0;
    virtual void on_watch_event_done(Nanos now, bool whole) = 0;
    virtual void on_watch_failed(Nanos now) = 0;
    virtual void start(Nanos now) = 0;
    virtual void submit(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&) = 0;
    virtual void adopt(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&,
                       WorkerNumber) = 0;
    virtual void on_accepted(Nanos now, TaskNumber, int launch) = 0;
    virtual void on_running(Nanos now, TaskNumber, int launch) = 0;
    virtual void on_cores_used(Nanos now, TaskNumber, int launch, double) = 0;
    virtual void on_memory_used(Nanos now, TaskNumber, int launch, double) = 0;
    virtual void on_service_share(Nanos now, TaskNumber, int launch, double) = 0;
    virtual void on_worker_memory(Nanos now, TaskNumber, int launch, double) = 0;
    // closed: nothing more is owed for the container.
    virtual void on_attempt_ended(Nanos now, TaskNumber, int launch, AttemptOutcome, OutcomeReason,
                                  bool closed, const LoadReport&) = 0;
    virtual void cancel(Nanos now, TaskNumber) = 0;
    virtual void on_load_report(Nanos now, WorkerNumber, const LoadReport&) = 0;
    // While it is cold, so many launches may be sent to it now; -1: it does not say.
    virtual void set_admission_tokens(Nanos now, WorkerNumber, int held) = 0;
    virtual void run_round(Nanos now) = 0;  // after the events of one moment
};

class PlannerHandler {
public:
    virtual ~PlannerHandler() = default;
    virtual void place(TaskNumber, WorkerNumber, Nanos time_out) = 0;
    virtual void reject(TaskNumber, Nanos stay_away) = 0;
    virtual void fail(TaskNumber) = 0;
    virtual void migrate(TaskNumber) = 0;
    virtual void cancel_attempt(TaskNumber, int launch) = 0;
    virtual void check_health(WorkerNumber) = 0;
    virtual void watch_endpoints() = 0;
    virtual void fetch_endpoints() = 0;
    virtual void wake_at(Nanos at) = 0;
    virtual void log(std::string_view line) = 0;
};

}  // namespace whinpost::planner
