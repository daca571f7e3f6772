// The interference model of SMORE, see docs/design.md: predicts how much the other services on a worker slow
// a service, learned from the slowdown that tasks observe.
#pragma once
#include "whinpost/service.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// Limit on the expected slowdown of a task, which the design takes from the SMORE paper.
constexpr double kSlowdownLimit = 0.10;

class InterferenceModel {
public:
    InterferenceModel();

    void init(Service&) const;  // sets the initial values of a new service

    // Predicted slowdown of a service on a worker: the sum of weight times pair value over the services that
    // this scheduler knows there, plus the mean pair value times the share of the worker's cores that is
    // requested by tasks of other schedulers.
    double predict(const Worker&, const Service&) const;
    // Learns from one observed slowdown of a task on its worker; 0 is full service.
    void observe(const Task&, double slowdown);
    // Learns from the time between an attempt and the start of its task. Neighbours slow warm starts as they
    // slow running tasks, so a late warm start counts as an observed slowdown.
    void observe_start(const Task&, double latency_s);
    void observe_cores(Service&, double cores) const;

    // Tasks with a higher value are placed first: large tasks, and those less sensitive to neighbours.
    double placement_order(const Task&) const;

private:
    double mean_slowdown_;  // moving average over all pairs
};

}  // namespace whinpost::scheduler
