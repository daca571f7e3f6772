// Outlier detection: finds workers that fail more attempts, or slow their tasks more, than load and
// neighbours explain.
#pragma once
#include <cstddef>
#include <vector>

#include "scheduler/slow_start.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class OutlierDetection {
public:
    // reports_pressure: whether workers report service shares; if not, late starts are used in their place.
    // The SlowStart must outlive this object.
    OutlierDetection(std::size_t queue_groups, bool reports_pressure, const SlowStart& slow_start)
        : reports_pressure_(reports_pressure), slow_start_(slow_start),
          start_latency_p80_s_(2 * queue_groups) {}

    // Failed share of this scheduler's recent attempts of a queue group on a worker, computed as if one more
    // had started.
    double failure_rate(Nanos now, Worker&, std::size_t queue_group) const;
    // Slowdown observed on a worker in excess of the prediction. It decays over time.
    double residual_slowdown(Nanos now, const Worker&) const;
    // False if the residual slowdown or the failure rate of any queue group makes the worker an outlier.
    bool is_healthy(Nanos now, Worker&, std::size_t queue_groups) const;

    void on_residual_slowdown(Nanos now, Worker&, double slowdown) const;
    void on_started(Nanos now, const Task&) const;
    // Time from an attempt to the start of its task. Only called if workers do not report service shares.
    void on_start_latency(Nanos now, const Task&, double latency_s);
    // The attempt ended as AttemptOutcome::failed, for which the worker or the task may be the cause.
    void on_task_failed(Nanos now, Task&, Worker&) const;
    // The attempt ended in a way that only the worker can have caused.
    void on_worker_fault(Nanos now, const Task&, Worker&) const;
    void on_restarted(Worker&) const;

private:
    double late_start_slowdown(const Task&, Nanos now) const;
    static std::size_t start_slot(const Task&);

    const bool reports_pressure_;
    const SlowStart& slow_start_;
    // 80th percentile of start latency in seconds, by queue group, without and with the program loaded.
    std::vector<double> start_latency_p80_s_;
};

}  // namespace whinpost::scheduler
