// Properties that all tasks of a queue group share: the effect of a repeated run, the sensitivity to load,
// and where the tasks may run.
#pragma once
#include "whinpost/nanos.h"

namespace whinpost {

// Effect of a repeated run of a task. idempotent: none. keyed: none on workers that share the idempotency
// key, which drop the repeat. side_effecting: harmful.
enum class Effect { idempotent, keyed, side_effecting };

// A set of workers that share a property: one worker, a cell, a zone, or all workers.
enum class FailureDomain { none, worker, cell, zone, all };

struct QueueGroup {
    Effect effect = Effect::idempotent;
    // For Effect::keyed: the workers that share idempotency keys.
    FailureDomain deduplicated_by = FailureDomain::all;
    Nanos deduplication_window = 0;
    Nanos start_objective = 0;
    double priority_weight = 1;
    double start_value_s = 0;  // value of a first start in time, in seconds of service
    // Full service up to full_service_utilization of a worker's cores. From there the service falls to zero
    // within degradation_range.
    double full_service_utilization = 1, degradation_range = 1;
    int worker_kind = -1;  // the required kind of worker, -1 for any
    FailureDomain spread_domain = FailureDomain::none;
    int max_per_domain = 0;  // maximum number of tasks of one service in each spread domain
    int priority = 0;
};

}  // namespace whinpost
