// Placing by simple policies, to measure the planner against in the same rig. Never part of the program: the
// ledger stands beside them as beside the planner, and they are told no more than it.
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
                    RetrySettings, Nanos cold_for);
    void node(Nanos, planner::WorkerNumber, std::uint64_t, const EndpointState&) override;
    void list_done(Nanos, bool) override {}
    void list_failed(Nanos) override {}
    void begin(Nanos) override;
    void take(Nanos, planner::TaskNumber, std::uint64_t, const ResourceRequest&) override;
    void take_over(Nanos, planner::TaskNumber, std::uint64_t, const ResourceRequest&,
                   planner::WorkerNumber) override;
    void accepted(Nanos, planner::TaskNumber, int) override;
    void runs(Nanos, planner::TaskNumber, int) override {}
    void uses_cores(Nanos, planner::TaskNumber, int, double) override {}
    void uses_memory(Nanos, planner::TaskNumber, int, double) override {}
    void served_share(Nanos, planner::TaskNumber, int, double) override {}
    void machine_memory(Nanos, planner::TaskNumber, int, double) override {}
    void ended(Nanos, planner::TaskNumber, int, AttemptOutcome, OutcomeReason, bool,
               const LoadReport&) override;
    void withdrawn(Nanos, planner::TaskNumber) override;
    void heard(Nanos, planner::WorkerNumber, const LoadReport&) override {}
    void turns(Nanos, planner::WorkerNumber, int) override;
    void round(Nanos) override;

private:
    struct Waits {
        ResourceRequest asked;
        Nanos until = 0, not_before = 0;
        int launches = 0;
        bool out = false, may_have_run = false;
    };
    struct Known {
        EndpointState listed;
        int turns = -1;
        double own_cores = 0, own_memory = 0;  // asked by this placer's containers there
    };
    Known* pick(Nanos now, const ResourceRequest&, planner::WorkerNumber& chosen);
    void leave(planner::TaskNumber);

    planner::PlannerHandler& bindings_;
    BaselinePolicy policy_;
    std::ranlux24_base chance_;
    std::vector<QueueGroup> groups_;
    RetrySettings launches_;
    Nanos cold_for_;  // after its start a node that gives turns is sent nothing without one
    std::map<planner::TaskNumber, Waits> waiting_;
    std::map<planner::TaskNumber, std::pair<planner::WorkerNumber, ResourceRequest>> at_;
    std::vector<Known> nodes_;
};

}  // namespace whinpost::simulation
