// The settings that the scheduler was constructed with. They do not change afterwards.
#pragma once
#include <vector>

#include "whinpost/endpoint_state.h"
#include "whinpost/queue_group.h"
#include "whinpost/scheduler_settings.h"

namespace whinpost::scheduler {

struct SchedulerConfig {
    int zone = 0;
    std::vector<QueueGroup> groups;
    std::vector<WorkerKind> kinds;
    WorkerAcceptance acceptance;
    SlowStartSettings slow_start;
    DiscoverySettings discovery;
    RetrySettings retry;
    Prices prices;
};

}  // namespace whinpost::scheduler
