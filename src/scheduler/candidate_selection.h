// Selects a worker for a task: samples candidates, scores them, picks the best.
//
// Departure from the design (cold starts): schedulers cannot tell each other where a service runs. So the
// randomness that draws a service's candidates is made from its own hash, alike at every scheduler, on a hash
// ring of the workers. All draw the same workers in the same order, and where the earlier have room the
// service gathers there. The workers known to run it join the sample.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "scheduler/capacity.h"
#include "scheduler/endpoint_list.h"
#include "scheduler/health_check.h"
#include "scheduler/interference_model.h"
#include "scheduler/outlier_detection.h"
#include "scheduler/retry_policy.h"
#include "scheduler/scheduler_config.h"
#include "scheduler/slow_start.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// Where a selection may look: in the active set, at workers whose predicted slowdown is below the limit; or,
// where that finds none, at any worker.
enum class SelectionScope { active_set, whole_fleet };

// The modules that a selection asks. All must outlive it.
struct SelectionModules {
    const EndpointList& endpoints;
    const InterferenceModel& interference;
    const Capacity& capacity;
    const SlowStart& slow_start;
    const OutlierDetection& outliers;
    const RetryPolicy& retry;
    const HealthChecks& health_checks;
};

class CandidateSelection {
public:
    // The settings must outlive this.
    CandidateSelection(const SchedulerConfig&, const SelectionModules&);

    // Null if no worker is fit.
    [[nodiscard]] Worker* select(Nanos now, const Task&, SelectionScope);

private:
    // One selection while it is made.
    struct Search {
        Nanos now;
        const Task& task;
        SelectionScope scope;
        Worker* best = nullptr;
        double best_cost = 0;
        std::size_t considered = 0;
    };
    // Requests of at least these amounts fit nowhere, until then.
    struct FullFleet {
        double cores = 0, memory = 0;
        Nanos until = 0;
    };

    bool fits_nowhere(Nanos now, const Task&) const;
    void remember_full_fleet(const Search&);
    // True if the worker could take the task, whether or not it is the best. cold_chance: that a start there,
    // which looks cold to this scheduler, is one.
    bool consider(Search&, Worker&, double cold_chance);
    void draw_from_ring(Search&);
    double expected_slowdown(const Search&, Worker&) const;
    double cold_start_cost(const Search&, Worker&) const;

    const SchedulerConfig& config_;
    const SelectionModules modules_;
    std::vector<const QueueGroup*> most_sensitive_group_;  // by worker kind, of those that may run there
    double alone_chance_;  // that no other scheduler's task of a service runs where this one has none
    std::uint64_t selections_ = 0;
    std::vector<FullFleet> full_fleet_;  // by queue group
};

}  // namespace whinpost::scheduler
