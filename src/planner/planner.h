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
    virtual void node(Nanos now, WorkerNumber, std::uint64_t mark, const EndpointState&) = 0;
    virtual void list_done(Nanos now, bool whole) = 0;
    virtual void list_failed(Nanos now) = 0;
    virtual void begin(Nanos now) = 0;
    virtual void take(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&) = 0;
    virtual void take_over(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&,
                           WorkerNumber) = 0;
    virtual void accepted(Nanos now, TaskNumber, int launch) = 0;
    virtual void runs(Nanos now, TaskNumber, int launch) = 0;
    virtual void uses_cores(Nanos now, TaskNumber, int launch, double) = 0;
    virtual void uses_memory(Nanos now, TaskNumber, int launch, double) = 0;
    virtual void served_share(Nanos now, TaskNumber, int launch, double) = 0;
    virtual void machine_memory(Nanos now, TaskNumber, int launch, double) = 0;
    // closed: nothing more is owed for the container.
    virtual void ended(Nanos now, TaskNumber, int launch, AttemptOutcome, OutcomeReason, bool closed,
                       const LoadReport&) = 0;
    virtual void withdrawn(Nanos now, TaskNumber) = 0;
    virtual void heard(Nanos now, WorkerNumber, const LoadReport&) = 0;
    // While it is cold, so many launches may be sent to it now; -1: it does not say.
    virtual void turns(Nanos now, WorkerNumber, int held) = 0;
    virtual void round(Nanos now) = 0;  // after the events of one moment
};

class PlannerHandler {
public:
    virtual ~PlannerHandler() = default;
    virtual void bind(TaskNumber, WorkerNumber, Nanos time_out) = 0;
    virtual void defer(TaskNumber, Nanos stay_away) = 0;
    virtual void kill(TaskNumber) = 0;
    virtual void move(TaskNumber) = 0;
    virtual void stop_waiting(TaskNumber, int launch) = 0;
    virtual void probe(WorkerNumber) = 0;
    virtual void follow_list() = 0;
    virtual void fetch_list() = 0;
    virtual void wake(Nanos at) = 0;
    virtual void note(std::string_view line) = 0;
};

}  // namespace whinpost::planner
