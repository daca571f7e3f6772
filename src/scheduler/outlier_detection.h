// Outlier detection: how much worse a worker serves than its load and its neighbours explain.
#pragma once
#include <cstddef>
#include <vector>

#include "scheduler/slow_start.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class OutlierDetection {
public:
    // reports_pressure: workers report how tasks are served; where they do not, late starts stand in for it.
    // The slow start must outlive this.
    OutlierDetection(std::size_t queue_groups, bool reports_pressure, const SlowStart& slow_start)
        : reports_pressure_(reports_pressure), slow_start_(slow_start), usual_start_s_(2 * queue_groups) {}

    // The share of this scheduler's recent attempts of a queue group on a worker that went wrong, as if one
    // more had started.
    double failure_rate(Nanos now, Worker&, std::size_t queue_group) const;
    // The slowdown, beyond the predicted, that was observed on a worker. It decays.
    double residual_slowdown(Nanos now, const Worker&) const;
    // Whether neither the residual slowdown nor any queue group's failure rate makes it an outlier.
    bool is_healthy(Nanos now, Worker&, std::size_t queue_groups) const;

    void on_residual_slowdown(Nanos now, Worker&, double slowdown) const;
    void on_started(Nanos now, const Task&) const;
    // The time from an attempt to the task's run; told where workers do not report how tasks are served.
    void on_start_latency(Nanos now, const Task&, double latency_s);
    // The task ran into an error, which may be its own fault.
    void on_task_failed(Nanos now, Task&, Worker&) const;
    // An attempt ended in a way that speaks against its worker only.
    void on_worker_fault(Nanos now, const Task&, Worker&) const;
    void on_restarted(Worker&) const;

private:
    double late_start_slowdown(const Task&, Nanos now) const;
    static std::size_t start_slot(const Task&);

    const bool reports_pressure_;
    const SlowStart& slow_start_;
    // The slow fifth of start latencies, by queue group, without and with the program loaded.
    std::vector<double> usual_start_s_;
};

}  // namespace whinpost::scheduler
