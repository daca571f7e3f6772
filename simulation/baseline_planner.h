// Simple placement policies to compare the planner with in rehearsals. They use the same ledger and get the
// same inputs as the planner. The placer program does not contain them.
#pragma once
#include <map>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "planner/planner.h"

namespace whinpost::simulation {

enum class BaselinePolicy { random, least_asked, two_choices };
inline constexpr std::string_view kPolicies[] = {"random", "least_asked", "two_choices"};

class BaselinePlanner final : public planner::Planner {
public:
    BaselinePlanner(planner::PlannerHandler&, BaselinePolicy, std::uint64_t seed, std::vector<QueueGroup>,
                    RetrySettings, Nanos slow_start_duration);
    void on_endpoint(Nanos, planner::WorkerNumber, std::uint64_t, const EndpointState&) override;
    void on_watch_event_done(Nanos, bool) override {}
    void on_watch_failed(Nanos) override {}
    void start(Nanos) override;
    void submit(Nanos, planner::TaskNumber, std::uint64_t, const ResourceRequest&) override;
    void adopt(Nanos, planner::TaskNumber, std::uint64_t, const ResourceRequest&,
               planner::WorkerNumber) override;
    void on_accepted(Nanos, planner::TaskNumber, int) override;
    void on_running(Nanos, planner::TaskNumber, int) override {}
    void on_cores_used(Nanos, planner::TaskNumber, int, double) override {}
    void on_memory_used(Nanos, planner::TaskNumber, int, double) override {}
    void on_service_share(Nanos, planner::TaskNumber, int, double) override {}
    void on_worker_memory(Nanos, planner::TaskNumber, int, double) override {}
    void on_attempt_ended(Nanos, planner::TaskNumber, int, AttemptOutcome, OutcomeReason, bool,
                          const LoadReport&) override;
    void cancel(Nanos, planner::TaskNumber) override;
    void on_load_report(Nanos, planner::WorkerNumber, const LoadReport&) override {}
    void set_admission_tokens(Nanos, planner::WorkerNumber, int) override;
    void run_round(Nanos) override;

private:
    struct PendingTask {
        ResourceRequest request;
        Nanos deadline = 0, not_before = 0;
        int attempts = 0;
        bool in_flight = false, may_have_run = false;
    };
    struct WorkerState {
        EndpointState endpoint;
        int admission_tokens = -1;
        double own_cores = 0, own_memory = 0;  // requested by this placer's tasks on it
    };
    WorkerState* pick_worker(Nanos now, const ResourceRequest&, planner::WorkerNumber& chosen);
    void release_resources(planner::TaskNumber);

    planner::PlannerHandler& handler_;
    BaselinePolicy policy_;
    std::ranlux24_base random_;
    std::vector<QueueGroup> groups_;
    RetrySettings retry_;
    Nanos slow_start_duration_;  // time after a worker's start in which it needs an admission token
    std::map<planner::TaskNumber, PendingTask> pending_;
    std::map<planner::TaskNumber, std::pair<planner::WorkerNumber, ResourceRequest>> placements_;
    std::vector<WorkerState> workers_;
};

}  // namespace whinpost::simulation
