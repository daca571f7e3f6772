#include "scheduler/active_set.h"

#include <algorithm>
#include <utility>

namespace whinpost::scheduler {
namespace {

constexpr double kTargetFill = 0.80;  // share of the load that a worker may hold; the rest is spare room
constexpr Nanos kWideningDuration = 2 * kSecond;

}  // namespace

ActiveSet::ActiveSet(const SchedulerConfig& config, const Capacity& capacity,
                     const OutlierDetection& outliers)
    : config_(config), capacity_(capacity), outliers_(outliers) {
    for (const QueueGroup& group : config.groups)
        min_full_service_utilization_ =
            std::min(min_full_service_utilization_, group.full_service_utilization);
}

double ActiveSet::fill_of(const Worker& worker, double core_ratio, double memory_ratio) const {
    const double cores = 1 - worker.endpoint.free_cores / worker.kind->cores;
    const double memory = 1 - worker.endpoint.free_memory / worker.kind->memory;
    return std::max(
        {cores / config_.acceptance.cores_overcommit, memory / config_.acceptance.memory_overcommit,
         cores * core_ratio / min_full_service_utilization_, memory * memory_ratio / kFullMemory});
}

void ActiveSet::refresh_if_due(Nanos now, const std::vector<Worker*>& listed_workers) {
    if (now < next_refresh_at_) return;
    next_refresh_at_ = now + kListInterval;
    const double core_ratio = capacity_.core_use_ratio(), memory_ratio = capacity_.memory_use_ratio();
    std::vector<std::pair<double, Worker*>> by_fill;
    double needed = 0, all = 0, held = 0;  // in cores
    for (Worker* worker : listed_workers) {
        if (worker->endpoint.phase != EndpointPhase::serving) continue;
        const double fill = fill_of(*worker, core_ratio, memory_ratio);
        by_fill.emplace_back(fill, worker);
        needed += fill * worker->kind->cores;
        all += worker->kind->cores;
    }
    std::stable_sort(by_fill.begin(), by_fill.end(),
                     [](const auto& left, const auto& right) { return left.first > right.first; });
    fleet_utilization_ = needed / std::max(all, 1e-9);
    if (now >= widened_until_) extra_workers_ = 0;
    int extra = extra_workers_;
    for (const auto& [fill, worker] : by_fill) {
        worker->in_active_set = config_.prices.workers_in_use <= 0 || held < needed || extra-- > 0;
        if (outliers_.is_healthy(now, *worker, config_.groups.size()))
            held += worker->kind->cores * kTargetFill;
    }
}

void ActiveSet::widen(Nanos now, std::size_t listed_workers) {
    extra_workers_ = std::min<int>(extra_workers_ + 1, static_cast<int>(listed_workers));
    widened_until_ = now + kWideningDuration;
}

}  // namespace whinpost::scheduler
