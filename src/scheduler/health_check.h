// Health checks before a placement.
//
// Departure from the design (health check before a placement): with many schedulers, one of them seldom knows
// the current state of the worker that it selects. So a worker without a recent report is sent a health check
// first; the task waits for the answer, and a worker is then selected anew with what the report says. A
// worker that does not answer is skipped for a while. Guards against workers that are slow, shared, crowded,
// stalled, unreachable or dead before the endpoint list shows it.
#pragma once
#include "whinpost/decision_handler.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class HealthChecks {
public:
    HealthChecks(const WorkerAcceptance&, const Prices&);

    // Whether the worker was recently sent a health check whose answer is overdue.
    bool is_overdue(Nanos now, const Worker&) const;
    // True if the worker must be checked before the task is placed there. The task is then delayed, and a
    // check is sent through the handler unless one is already in flight.
    [[nodiscard]] bool check_first(Nanos now, Task&, Worker&, DecisionHandler&) const;
    void on_report(Nanos now, Worker& worker) const { worker.health.last_report_at = now; }

private:
    const bool enabled_;
};

}  // namespace whinpost::scheduler
