// The decision module's embedding: numbers become objects here, and its decisions leave as Bindings. Decides
// nothing.
#pragma once
#include <unordered_map>
#include <vector>

#include "planner/planner.h"

namespace whinpost::planner {

class LocalPlanner final : public Planner, private DecisionHandler {
public:
    LocalPlanner(PlannerHandler&, std::uint64_t seed, int zone, std::vector<QueueGroup>,
                 std::vector<WorkerKind>, WorkerAcceptance, SlowStartSettings, DiscoverySettings,
                 RetrySettings, Prices);

    void node(Nanos now, WorkerNumber, std::uint64_t mark, const EndpointState&) override;
    void list_done(Nanos now, bool whole) override;
    void list_failed(Nanos now) override;
    void begin(Nanos now) override;
    void take(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&) override;
    void take_over(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&,
                   WorkerNumber) override;
    void accepted(Nanos now, TaskNumber, int launch) override;
    void runs(Nanos now, TaskNumber, int launch) override;
    void uses_cores(Nanos now, TaskNumber, int launch, double) override;
    void uses_memory(Nanos now, TaskNumber, int launch, double) override;
    void served_share(Nanos now, TaskNumber, int launch, double) override;
    void machine_memory(Nanos now, TaskNumber, int launch, double) override;
    void ended(Nanos now, TaskNumber, int launch, AttemptOutcome, OutcomeReason, bool closed,
               const LoadReport&) override;
    void withdrawn(Nanos now, TaskNumber) override;
    void heard(Nanos now, WorkerNumber, const LoadReport&) override;
    void turns(Nanos now, WorkerNumber, int held) override;
    void round(Nanos now) override;

    std::size_t open() const { return containers_.size(); }

private:
    void bind(Task&, Worker&, Nanos time_out) override;
    void defer(Task&, Nanos stay_away) override;
    void kill(Task&) override;
    void move(Task&) override;
    void stop_waiting(Task&, int launch) override;
    void probe(Worker&) override;
    void follow_list() override { bindings_.follow_list(); }
    void fetch_list() override { bindings_.fetch_list(); }
    void wake(Nanos at) override { bindings_.wake(at); }
    void log(std::string_view line) override { bindings_.note(line); }

    Task* find(TaskNumber);
    Service& service(std::uint64_t mark);
    void drop_if_finished(Task&);

    PlannerHandler& bindings_;
    Scheduler placer_;
    std::unordered_map<TaskNumber, Task*> containers_;  // looked up, never walked
    std::unordered_map<std::uint64_t, Service*> services_;
    std::vector<Worker*> machines_;  // by the edge's number
    std::unordered_map<const Worker*, WorkerNumber> numbers_;
    std::vector<TaskNumber> answered_;  // in this round; dropped when it ends
};

}  // namespace whinpost::planner
