// Health checks before a placement.
//
// Departure from the design (look before placing): among many schedulers a worker's state is seldom known
// when it is selected. So a worker not heard from lately is checked first, and the task waits that long; the
// selection is then made anew by what the worker says. One that does not answer is left alone for a while.
// Guards against workers that are slow, shared, crowded, standing still, cut off or dead before the endpoint
// list says so.
#pragma once
#include "whinpost/decision_handler.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class HealthChecks {
public:
    HealthChecks(const WorkerAcceptance&, const Prices&);

    // It was sent a check lately and has not answered within the usual time.
    bool is_overdue(Nanos now, const Worker&) const;
    // True if the worker is to be checked before the task is placed there; the task then waits, and the check
    // is sent through the handler unless one is on its way.
    [[nodiscard]] bool check_first(Nanos now, Task&, Worker&, DecisionHandler&) const;
    void on_report(Nanos now, Worker& worker) const { worker.health.last_report_at = now; }

private:
    const bool enabled_;
};

}  // namespace whinpost::scheduler
