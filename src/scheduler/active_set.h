// The active set: the fewest workers that hold the present load with room to spare.
//
// Departure from the design (workers in use have a price): candidates are drawn from the active set, the
// fullest first, so that the other workers run empty. All schedulers see the same late endpoint list, so they
// agree.
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
    // All three must outlive this.
    ActiveSet(const SchedulerConfig&, const Capacity&, const OutlierDetection&);

    void refresh_at(Nanos now) { next_refresh_at_ = now; }
    // Chooses the set anew if it is due: sets Worker::in_active_set of each.
    void refresh_if_due(Nanos now, const std::vector<Worker*>& listed_workers);
    // No worker was found for a task. The set gets one worker larger for a while.
    void widen(Nanos now, std::size_t listed_workers);
    // Of what the serving workers may be filled to.
    double fleet_utilization() const { return fleet_utilization_; }

private:
    double fill_of(const Worker&, double core_ratio, double memory_ratio) const;

    const SchedulerConfig& config_;
    const Capacity& capacity_;
    const OutlierDetection& outliers_;
    double least_full_service_utilization_ = 1;  // of any queue group
    Nanos next_refresh_at_ = 0;
    Nanos widened_until_ = 0;
    int extra_workers_ = 0;
    double fleet_utilization_ = 0;
};

// The endpoint list's free amounts change about as often.
constexpr Nanos kListInterval = 250 * kMillisecond;

}  // namespace whinpost::scheduler
