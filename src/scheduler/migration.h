// Whether a running task is moved to another worker.
//
// Departure from the design (migration): a placement is for life, but the worker may turn bad after it: its
// tasks use more, another program shares it, it slows. Where a report says so, the task is moved if what is
// won, in seconds of service, is worth more than the stated price. Only idempotent ones: a moved task has
// run. Could waste starts where the trouble is about to end.
#pragma once
#include <random>

#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"

namespace whinpost::scheduler {

class Migration {
public:
    explicit Migration(const Prices& prices) : price_(prices.migrations) {}

    // Called after each report of how a task is served. It answers for about one task a second of each
    // worker: a scheduler acts with the chance of its part of the worker's load, drawn from `random`.
    [[nodiscard]] bool should_migrate(Nanos now, const Task&, double fleet_utilization,
                                      std::ranlux24_base& random) const;

private:
    bool is_worth_it(const Task&) const;

    const double price_;
};

}  // namespace whinpost::scheduler
