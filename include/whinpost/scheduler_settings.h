// The scheduler's settings, as plain types. They are read from a deployment's configuration by src/settings.
#pragma once
#include "whinpost/nanos.h"

namespace whinpost {

// How workers accept tasks, and what the free amounts in their reports mean.
struct WorkerAcceptance {
    double cores_overcommit = 1, memory_overcommit = 1;
    bool reports_use = false;  // free amounts are those not in use; otherwise those not requested
    bool health_checks = false;
    bool accepts_when_running = false;  // otherwise they accept an attempt before the task runs
    bool preempts = false;
    bool reports_pressure = true;  // workers report service shares and memory pressure
    bool reports_task_use = true;  // workers report the cores and memory that tasks use
};

struct SlowStartSettings {
    double initial_capacity = 1;
    Nanos warm_up_time = 0;
    double overload_factor = 1;
    Nanos window = 0;
    // Attempts per window from all schedulers together that a worker can always handle.
    double guaranteed_attempts = 0;
    int placers = 1, placer_index = 0;  // number of schedulers, and index of this one
};

struct DiscoverySettings {
    bool poll = false;
    Nanos poll_interval = 0;
};

struct RetrySettings {
    int max_attempts = 1;
    bool can_cancel = false;
};

struct Prices {
    double workers_in_use = 0, migrations = 0, waste = 0, health_checks = 0, cross_zone = 0,
           discovery_entries = 0, rejections = 0;
};

}  // namespace whinpost
