// Selects a worker for a task: samples candidates, scores them and picks the one with the lowest cost.
//
// Departure from the design (cold starts): a start is faster where the service already runs, but schedulers
// do not tell each other where that is. So candidates are drawn from a hash ring of the workers, at hashes
// derived from the service's name. Every scheduler draws the same workers in the same order, and a service
// gathers on the first of them that have room. Workers where this scheduler knows the service to run are
// considered, too.
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

// Which workers a selection may pick: those of the active set with an expected slowdown of at most
// kSlowdownLimit, or, if there is none with room, any listed worker.
enum class SelectionScope { active_set, whole_fleet };

// The modules that a selection reads. They must outlive CandidateSelection.
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
    // The configuration must outlive this object.
    CandidateSelection(const SchedulerConfig&, const SelectionModules&);

    // Null if no worker may take the task.
    [[nodiscard]] Worker* select(Nanos now, const Task&, SelectionScope);

private:
    // State of one selection in progress.
    struct Search {
        Nanos now;
        const Task& task;
        SelectionScope scope;
        Worker* best = nullptr;
        double best_cost = 0;
        std::size_t considered = 0;
    };
    // No worker has room for requests of at least these amounts until this time.
    struct FullFleet {
        double cores = 0, memory = 0;
        Nanos until = 0;
    };

    bool fits_nowhere(Nanos now, const Task&) const;
    void remember_full_fleet(const Search&);
    // True if the worker can take the task, whether or not it is the best so far. cold_probability: the
    // probability that a start is cold on a worker where this scheduler has no task of the service.
    bool consider(Search&, Worker&, double cold_probability);
    void draw_from_ring(Search&);
    double expected_slowdown(const Search&, Worker&) const;
    double cold_start_cost(const Search&, Worker&) const;

    const SchedulerConfig& config_;
    const SelectionModules modules_;
    std::vector<const QueueGroup*> most_sensitive_group_;  // by worker kind
    // The probability that none of kTasksPerWarmWorker tasks of a service was placed by this scheduler.
    double others_only_probability_;
    std::uint64_t selections_ = 0;
    std::vector<FullFleet> full_fleet_;  // by queue group
};

}  // namespace whinpost::scheduler
