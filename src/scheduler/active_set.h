// The active set: the smallest set of workers that holds the present load with some spare room.
//
// Departure from the design (price of workers in use): candidates are drawn from the active set, fullest
// workers first, so that the other workers run empty. All schedulers compute the set from the same endpoint
// list, including its delay, and so choose the same workers.
#pragma once
#include <cstddef>
#include <vector>

#include "scheduler/capacity.h"
#include "scheduler/outlier_detection.h"
#include "scheduler/scheduler_config.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class ActiveSet {
public:
    // The three arguments must outlive this object.
    ActiveSet(const SchedulerConfig&, const Capacity&, const OutlierDetection&);

    void refresh_at(Nanos now) { next_refresh_at_ = now; }
    // Recomputes the set if a refresh is due, and sets Worker::in_active_set of each serving worker.
    void refresh_if_due(Nanos now, const std::vector<Worker*>& listed_workers);
    // Called when no worker was found for a task. Makes the set one worker larger for two seconds.
    void widen(Nanos now, std::size_t listed_workers);
    // Load of all serving workers as a share of the load that they may hold.
    double fleet_utilization() const { return fleet_utilization_; }

private:
    double fill_of(const Worker&, double core_ratio, double memory_ratio) const;

    const SchedulerConfig& config_;
    const Capacity& capacity_;
    const OutlierDetection& outliers_;
    double min_full_service_utilization_ = 1;  // the lowest of all queue groups
    Nanos next_refresh_at_ = 0;
    Nanos widened_until_ = 0;
    int extra_workers_ = 0;
    double fleet_utilization_ = 0;
};

// Time between two refreshes. The free amounts in the endpoint list change about as often.
constexpr Nanos kListInterval = 250 * kMillisecond;

}  // namespace whinpost::scheduler
