// A planner that makes no decisions; tests use it directly or as a base class.
#pragma once
#include <vector>

#include "planner/planner.h"

namespace whinpost {

struct QuietPlanner : planner::Planner {
    void on_endpoint(Nanos, planner::WorkerNumber, std::uint64_t, const EndpointState&) override {}
    void on_watch_event_done(Nanos, bool) override {}
    void on_watch_failed(Nanos) override {}
    void start(Nanos) override {}
    void submit(Nanos, planner::TaskNumber task, std::uint64_t, const ResourceRequest&) override {
        submitted.push_back(task);
    }
    void adopt(Nanos, planner::TaskNumber, std::uint64_t, const ResourceRequest&,
               planner::WorkerNumber) override {}
    void on_accepted(Nanos, planner::TaskNumber, int) override {}
    void on_running(Nanos, planner::TaskNumber, int) override {}
    void on_cores_used(Nanos, planner::TaskNumber, int, double) override {}
    void on_memory_used(Nanos, planner::TaskNumber, int, double) override {}
    void on_service_share(Nanos, planner::TaskNumber, int, double) override {}
    void on_worker_memory(Nanos, planner::TaskNumber, int, double) override {}
    void on_attempt_ended(Nanos, planner::TaskNumber, int, AttemptOutcome, OutcomeReason, bool,
                          const LoadReport&) override {}
    void cancel(Nanos, planner::TaskNumber) override {}
    void on_load_report(Nanos, planner::WorkerNumber, const LoadReport&) override {}
    void set_admission_tokens(Nanos, planner::WorkerNumber, int) override {}
    void run_round(Nanos) override {}

    std::vector<planner::TaskNumber> submitted;
};

}  // namespace whinpost
