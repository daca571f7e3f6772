// What a worker can still take, by its estimated load, its recent rejections and its unanswered attempts.
#pragma once
#include <vector>

#include "scheduler/slow_start.h"
#include "whinpost/attempt_outcome.h"
#include "whinpost/endpoint_state.h"
#include "whinpost/queue_group.h"
#include "whinpost/resource_request.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

// Share of a worker's memory from which on it counts as full. From 92% on, memory pressure slows all tasks on
// the worker; the difference leaves room for growth.
constexpr double kFullMemory = 0.88;

// Cores and memory of a worker: the sum of requests, and the estimated use.
struct WorkerLoad {
    double requested_cores, requested_memory, used_cores, used_memory;
};

class Capacity {
public:
    // The three arguments must outlive this object.
    Capacity(const WorkerAcceptance& acceptance, const std::vector<QueueGroup>& groups,
             const SlowStart& slow_start)
        : acceptance_(acceptance), groups_(groups), slow_start_(slow_start) {}

    // The load of a worker with `request` added.
    WorkerLoad load(Nanos now, Worker&, const ResourceRequest& request) const;
    bool has_room(Nanos now, const Task&, Worker&) const;

    // Mean ratio of use to requests in recent reports.
    double core_use_ratio() const { return use_ratio(used_cores_, requested_cores_); }
    double memory_use_ratio() const { return use_ratio(used_memory_, requested_memory_); }
    // Mean time from an attempt to its acceptance.
    double mean_answer_time_s() const { return mean_answer_time_s_; }

    void on_attempt_sent(Nanos now, const Task&, Worker&) const;
    void on_accepted(Nanos now, Worker&) const;
    void on_answer_time(double seconds);
    // The attempt on the worker has ended. accepted: whether the worker had accepted it.
    void on_task_left(Nanos now, const Task&, Worker&, bool accepted) const;
    // Called after on_attempt_sent() for an adopted task, which already runs on the worker: the endpoint list
    // includes its request, and no answer is outstanding.
    void on_adopted(Worker&) const;
    void on_rejected(Nanos now, const Task&, Worker&, OutcomeReason) const;
    // The worker has ended a task because it drains, which the endpoint list may not show yet.
    void on_drained(Nanos now, Worker&) const;
    void on_load_report(Nanos now, Worker&, const LoadReport&) const;
    void on_memory_pressure(Nanos now, Worker&, double share) const;
    void on_cores_used(const Task&, double cores);
    void on_memory_used(const Task&, double memory);
    void on_restarted(Worker&) const;

private:
    static double use_ratio(double used, double requested);
    bool is_silent(Nanos now, const Worker&) const;
    double usable_share(const Task&, const Worker&) const;

    const WorkerAcceptance& acceptance_;
    const std::vector<QueueGroup>& groups_;
    const SlowStart& slow_start_;
    // Exponentially decaying sums from which the use ratios are computed.
    double used_cores_ = 0, used_memory_ = 0, requested_cores_ = 0, requested_memory_ = 0;
    double mean_answer_time_s_ = 0.1;
};

}  // namespace whinpost::scheduler
