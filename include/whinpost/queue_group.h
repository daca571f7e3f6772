// What the tasks of one queue group have in common: what a repeat may do, how they suffer under load, where
// they may run.
#pragma once
#include "whinpost/nanos.h"

namespace whinpost {

// What a repeated run of a task does: nothing, nothing where its idempotency key is known, or harm.
enum class Effect { idempotent, keyed, side_effecting };

// A set of workers, from one of them to all.
enum class FailureDomain { none, worker, cell, zone, all };

struct QueueGroup {
    Effect effect = Effect::idempotent;
    FailureDomain deduplicated_by = FailureDomain::all;  // Effect::keyed: the workers that share the keys
    Nanos deduplication_window = 0;
    Nanos start_objective = 0;
    double priority_weight = 1;
    double start_value_s = 0;  // a first start in time is worth so many seconds of service
    // Served in full up to this utilization of a worker's cores, not at all from the sum of both on.
    double full_service_utilization = 1, degradation_range = 1;
    int worker_kind = -1;  // the kind of worker that it needs, -1 for any
    FailureDomain spread_domain = FailureDomain::none;
    int max_per_domain = 0;  // tasks of one service in each spread domain
    int priority = 0;
};

}  // namespace whinpost
