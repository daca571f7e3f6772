// Decides whether a running task is moved to another worker.
//
// Departure from the design (migration): in the design a task stays where it was placed, but its worker may
// get worse later: its tasks use more, another program shares the machine, or it slows down. When a report
// shows this, the task is moved if the gain, in seconds of service, is worth more than the configured price.
// Only idempotent tasks are moved, because a moved task is run again. Could waste starts when the cause is
// about to end.
#pragma once
#include <random>

#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"

namespace whinpost::scheduler {

class Migration {
public:
    explicit Migration(const Prices& prices) : price_(prices.migrations) {}

    // Called after each service share report. Of a worker's tasks, about one a second is considered by all
    // schedulers together: each considers its own with a probability equal to its share of the worker's
    // requested cores, drawn from `random`.
    [[nodiscard]] bool should_migrate(Nanos now, const Task&, double fleet_utilization,
                                      std::ranlux24_base& random) const;

private:
    bool gain_exceeds_cost(const Task&) const;

    const double price_;
};

}  // namespace whinpost::scheduler
