#include "scheduler/migration.h"

#include <algorithm>

#include "whinpost/service.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {
namespace {

// Corresponds to four fifths of full service; the gain from a smaller slowdown does not pay for a start.
constexpr double kMinSlowdown = 0.25;
constexpr double kMinGain = 1.5;  // times the cost; a margin, because the gain is an estimate
// In a fuller fleet, a migration only moves the overload to another worker.
constexpr double kMaxUtilization = 0.8;
constexpr Nanos kCheckInterval = kSecond;
constexpr double kMinColdStartS = 1.0;

}  // namespace

bool Migration::should_migrate(Nanos now, const Task& task, double fleet_utilization,
                               std::ranlux24_base& random) const {
    Worker& worker = *task.worker;
    if (fleet_utilization > kMaxUtilization || worker.outlier.residual_slowdown < kMinSlowdown ||
        now - worker.last_migration_check < kCheckInterval)
        return false;
    worker.last_migration_check = now;
    if (task.settled || task.queue_group->effect != Effect::idempotent) return false;
    const double requested_cores = worker.kind->cores - worker.endpoint.free_cores;
    if (static_cast<double>(random() % 1000) * requested_cores > 1000 * worker.capacity.own_cores)
        return false;
    return gain_exceeds_cost(task);
}

bool Migration::gain_exceeds_cost(const Task& task) const {
    const double start_value_s = task.queue_group->start_value_s;
    const double left_s = task.service->mean_runtime_s > 0 ? task.service->mean_runtime_s / 2 : start_value_s;
    const double gain = left_s * (1 - 1 / (1 + task.worker->outlier.residual_slowdown));
    const double cost =
        price_ * (2 * left_s + start_value_s) + std::max(task.service->mean_cold_start_s, kMinColdStartS);
    return !(gain < kMinGain * cost);
}

}  // namespace whinpost::scheduler
