#include "scheduler/outlier_detection.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduler/interference_model.h"
#include "scheduler/numeric.h"

namespace whinpost {
namespace {

constexpr Nanos kAttemptBucket = 250 * kMillisecond;  // 16 buckets: attempts of the last four seconds

}  // namespace

WorkerOutlierStats::WorkerOutlierStats(std::size_t queue_groups)
    : failed_attempts(queue_groups, SlidingCounter<16>(kAttemptBucket)),
      started_attempts(queue_groups, SlidingCounter<16>(kAttemptBucket)) {}

namespace scheduler {
namespace {

// A start is late from this multiple of the 80th percentile of start latency. A lower value avoids healthy
// workers at low load.
constexpr double kLateStartFactor = 2.5;
// Reports come once a second, so three missed reports halve the value.
constexpr Nanos kResidualHalfLife = 3 * kSecond;
constexpr double kOutlierFailureRate = 0.2;
// Factors that make a value follow the 80th percentile: four steps down about cancel one step up, so it
// settles where one start in five takes longer.
constexpr double kPercentileStepUp = 1.16, kPercentileStepDown = 1 / 1.04;

std::size_t group_index(const Task& task) { return static_cast<std::size_t>(task.request.queue_group); }

}  // namespace

// Guards against workers that fail to start tasks of one or all queue groups, are stalled or unreachable, or
// lose their tasks. Heals as old failures leave the sliding window.
double OutlierDetection::failure_rate(Nanos now, Worker& worker, std::size_t queue_group) const {
    const double failed = worker.outlier.failed_attempts[queue_group].sum(now);
    if (failed <= 0) return 0;
    return failed / (failed + worker.outlier.started_attempts[queue_group].sum(now) + 1);
}

double OutlierDetection::residual_slowdown(Nanos now, const Worker& worker) const {
    const WorkerOutlierStats& stats = worker.outlier;
    double residual = 0;
    if (stats.residual_slowdown > 0)
        residual = stats.residual_slowdown *
                   std::exp2(-to_seconds(now - stats.residual_slowdown_at) / to_seconds(kResidualHalfLife));
    if (reports_pressure_) return residual;
    for (const Task* task : worker.tasks)
        if (task->accepted && !task->running) residual = std::max(residual, late_start_slowdown(*task, now));
    return residual;
}

// Late starts are ignored here: each scheduler observes only its own, but all must compute the same active
// set.
bool OutlierDetection::is_healthy(Nanos now, Worker& worker, std::size_t queue_groups) const {
    bool healthy = !reports_pressure_ || residual_slowdown(now, worker) < kSlowdownLimit;
    for (std::size_t group = 0; group < queue_groups; ++group)
        healthy = healthy && failure_rate(now, worker, group) < kOutlierFailureRate;
    return healthy;
}

std::size_t OutlierDetection::start_slot(const Task& task) {
    return 2 * group_index(task) + (task.warm_start ? 1 : 0);
}

// Departure from the design (late starts): if workers do not report service shares, a start that takes far
// longer than usual in its queue group counts as a slowdown of the worker. Guards against slow and shared
// workers. Workers that are warming up are excluded, as their starts are expected to be slow. One unusual
// start could keep tasks off a worker for some seconds.
double OutlierDetection::late_start_slowdown(const Task& task, Nanos now) const {
    const double usual = start_latency_p80_s_[start_slot(task)];
    if (usual <= 0 || slow_start_.is_warming_up(task.sent_at, *task.worker)) return 0;
    return std::clamp(to_seconds(now - task.sent_at) / (kLateStartFactor * usual) - 1, 0.0, 1.0);
}

// Guards against slowdown that no known neighbour explains: a slow or shared worker, tasks that suddenly use
// more, or crowding by tasks of other schedulers. Heals as the value decays; could keep tasks off a worker
// that has already recovered.
void OutlierDetection::on_residual_slowdown(Nanos now, Worker& worker, double slowdown) const {
    worker.outlier.residual_slowdown = slowdown;
    worker.outlier.residual_slowdown_at = now;
}

void OutlierDetection::on_started(Nanos now, const Task& task) const {
    task.worker->outlier.started_attempts[group_index(task)].add(now, 1);
}

void OutlierDetection::on_start_latency(Nanos now, const Task& task, double latency_s) {
    Worker& worker = *task.worker;
    const double late = late_start_slowdown(task, now), old = residual_slowdown(now, worker);
    on_residual_slowdown(now, worker, late > old ? late : moving_average(old, late, 0.5));
    // A high percentile and not the mean, because a start that counts as cold here may be warm: a task of the
    // service from another scheduler may run there.
    double& usual = start_latency_p80_s_[start_slot(task)];
    usual = usual > 0 ? usual * (latency_s > usual ? kPercentileStepUp : kPercentileStepDown) : latency_s;
}

// Guards against tasks that fail on every worker: the second failure of a task is attributed to the task, and
// its first failure is no longer counted against the worker. Otherwise a few clients with faulty tasks would
// make all workers look unhealthy. Could hide two failing workers that the same task was placed on.
void OutlierDetection::on_task_failed(Nanos now, Task& task, Worker& worker) const {
    const std::size_t group = group_index(task);
    if (!task.first_failed_on) {
        worker.outlier.failed_attempts[group].add(now, 1);
        task.first_failed_on = &worker;
    } else if (!std::exchange(task.faulty, true)) {
        task.first_failed_on->outlier.failed_attempts[group].add(now, -1);
    }
}

void OutlierDetection::on_worker_fault(Nanos now, const Task& task, Worker& worker) const {
    worker.outlier.failed_attempts[group_index(task)].add(now, 1);
}

void OutlierDetection::on_restarted(Worker& worker) const {
    for (SlidingCounter<16>& failed : worker.outlier.failed_attempts) failed.clear();
    worker.outlier.residual_slowdown = 0;
}

}  // namespace scheduler
}  // namespace whinpost
