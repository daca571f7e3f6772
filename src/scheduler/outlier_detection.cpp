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

constexpr double kLateStart = 2.5;  // times the slow fifth of starts; less avoids workers on quiet days
constexpr Nanos kResidualHalfLife = 3 * kSecond;  // reports come once a second: three missed halve it
constexpr double kOutlierFailureRate = 0.2;
// Four steps down for each step up: these settle where a fifth of the starts take longer.
constexpr double kUsualStartUp = 1.16, kUsualStartDown = 1 / 1.04;

std::size_t group_index(const Task& task) { return static_cast<std::size_t>(task.request.queue_group); }

}  // namespace

// Guards against workers that fail starts, of one queue group or all, stand still, are cut off or lose what
// they hold; heals as the counters turn over.
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

// Late starts are seen by each scheduler for itself, but all must come to the same active set: they do not
// count here.
bool OutlierDetection::is_healthy(Nanos now, Worker& worker, std::size_t queue_groups) const {
    bool healthy = !reports_pressure_ || residual_slowdown(now, worker) < kSlowdownLimit;
    for (std::size_t group = 0; group < queue_groups; ++group)
        healthy = healthy && failure_rate(now, worker, group) < kOutlierFailureRate;
    return healthy;
}

std::size_t OutlierDetection::start_slot(const Task& task) {
    return 2 * group_index(task) + (task.warm_start ? 1 : 0);
}

// Departure from the design (late starts): where no report says how a task is served, what a start takes far
// beyond the usual one of its queue group stands in for the worker's own slowdown. Guards against slow and
// shared workers; those that warm up are slow by nature. One odd start could keep tasks off a worker for some
// seconds.
double OutlierDetection::late_start_slowdown(const Task& task, Nanos now) const {
    const double usual = usual_start_s_[start_slot(task)];
    if (usual <= 0 || slow_start_.is_warming_up(task.sent_at, *task.worker)) return 0;
    return std::clamp(to_seconds(now - task.sent_at) / (kLateStart * usual) - 1, 0.0, 1.0);
}

// Guards against whatever slows a worker and no neighbour explains: a slow or shared worker, tasks that
// suddenly use more, crowding by other schedulers' tasks. Decays by itself; could keep tasks off a worker
// that has healed.
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
    // Follows the slow fifth: a start that looks cold here may be warm by another scheduler's task.
    double& usual = usual_start_s_[start_slot(task)];
    usual = usual > 0 ? usual * (latency_s > usual ? kUsualStartUp : kUsualStartDown) : latency_s;
}

// Guards against tasks that no worker can run: what fails on a second worker speaks against itself, and its
// first failure is taken back. Otherwise a few bad clients make all workers look as if they failed. Could
// hide two failing workers that the same task met.
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
