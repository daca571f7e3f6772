// A planner that hears everything and decides nothing, to derive from.
#pragma once
#include <vector>

#include "planner/planner.h"

namespace whinpost {

struct QuietPlanner : planner::Planner {
    void node(Nanos, planner::WorkerNumber, std::uint64_t, const EndpointState&) override {}
    void list_done(Nanos, bool) override {}
    void list_failed(Nanos) override {}
    void begin(Nanos) override {}
    void take(Nanos, planner::TaskNumber n, std::uint64_t, const ResourceRequest&) override {
        taken.push_back(n);
    }
    void take_over(Nanos, planner::TaskNumber, std::uint64_t, const ResourceRequest&,
                   planner::WorkerNumber) override {}
    void accepted(Nanos, planner::TaskNumber, int) override {}
    void runs(Nanos, planner::TaskNumber, int) override {}
    void uses_cores(Nanos, planner::TaskNumber, int, double) override {}
    void uses_memory(Nanos, planner::TaskNumber, int, double) override {}
    void served_share(Nanos, planner::TaskNumber, int, double) override {}
    void machine_memory(Nanos, planner::TaskNumber, int, double) override {}
    void ended(Nanos, planner::TaskNumber, int, AttemptOutcome, OutcomeReason, bool,
               const LoadReport&) override {}
    void withdrawn(Nanos, planner::TaskNumber) override {}
    void heard(Nanos, planner::WorkerNumber, const LoadReport&) override {}
    void turns(Nanos, planner::WorkerNumber, int) override {}
    void round(Nanos) override {}

    std::vector<planner::TaskNumber> taken;
};

}  // namespace whinpost
