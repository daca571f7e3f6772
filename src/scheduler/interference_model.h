// SMORE's interference model: how much a service slows down among the other services of a worker, learned
// from the slowdown that tasks observe. The design: docs/design.md.
#pragma once
#include "whinpost/service.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// The limit on a task's slowdown that the design takes over from the paper.
constexpr double kSlowdownLimit = 0.10;

class InterferenceModel {
public:
    InterferenceModel();

    void init(Service&) const;  // a new service's starting values

    // Predicted slowdown of a service on a worker: over its known neighbours, the sum of weight times pair
    // value, and for the load that this scheduler does not know, the average pair value times the share of
    // the worker that is requested beyond this scheduler's own tasks.
    double predict(const Worker&, const Service&) const;
    // One observation of the slowdown of a task on its worker.
    void observe(const Task&, double slowdown);
    // The time from an attempt to the task's run. Warm starts are slowed like anything else by neighbours.
    void observe_start(const Task&, double latency_s);
    void observe_cores(Service&, double cores) const;

    // Tasks of a higher order are placed first: the larger and the less sensitive ones.
    double placement_order(const Task&) const;

private:
    double mean_slowdown_;  // of all pairs
};

}  // namespace whinpost::scheduler
