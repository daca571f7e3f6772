// Runs the scheduler in the server's own process. It only maps the server's task and worker numbers to the
// scheduler's objects and back; all decisions are the scheduler's.
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

    void on_endpoint(Nanos now, WorkerNumber, std::uint64_t stable_hash, const EndpointState&) override;
    void on_watch_event_done(Nanos now, bool is_snapshot) override;
    void on_watch_failed(Nanos now) override;
    void start(Nanos now) override;
    void submit(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&) override;
    void adopt(Nanos now, TaskNumber, std::uint64_t service, const ResourceRequest&, WorkerNumber) override;
    void on_accepted(Nanos now, TaskNumber, int attempt) override;
    void on_running(Nanos now, TaskNumber, int attempt) override;
    void on_cores_used(Nanos now, TaskNumber, int attempt, double) override;
    void on_memory_used(Nanos now, TaskNumber, int attempt, double) override;
    void on_service_share(Nanos now, TaskNumber, int attempt, double) override;
    void on_worker_memory(Nanos now, TaskNumber, int attempt, double) override;
    void on_attempt_ended(Nanos now, TaskNumber, int attempt, AttemptOutcome, OutcomeReason, bool closed,
                          const LoadReport&) override;
    void cancel(Nanos now, TaskNumber) override;
    void on_load_report(Nanos now, WorkerNumber, const LoadReport&) override;
    void set_admission_tokens(Nanos now, WorkerNumber, int held) override;
    void run_round(Nanos now) override;

    std::size_t open_tasks() const { return tasks_.size(); }

private:
    void place(Task&, Worker&, Nanos time_out) override;
    void reject(Task&, Nanos retry_after) override;
    void fail(Task&) override;
    void migrate(Task&) override;
    void cancel_attempt(Task&, int attempt) override;
    void check_health(Worker&) override;
    void watch_endpoints() override { handler_.watch_endpoints(); }
    void fetch_endpoints() override { handler_.fetch_endpoints(); }
    void wake_at(Nanos at) override { handler_.wake_at(at); }
    void log(std::string_view line) override { handler_.log(line); }

    Task* find(TaskNumber);
    Service& service(std::uint64_t stable_hash);
    void drop_if_finished(Task&);

    PlannerHandler& handler_;
    Scheduler scheduler_;
    std::unordered_map<TaskNumber, Task*> tasks_;  // looked up, never iterated
    std::unordered_map<std::uint64_t, Service*> services_;
    std::vector<Worker*> workers_;  // indexed by the server's worker number
    std::unordered_map<const Worker*, WorkerNumber> numbers_;
    std::vector<TaskNumber> answered_tasks_;  // rejected or failed in this round; removed when it ends
};

}  // namespace whinpost::planner
