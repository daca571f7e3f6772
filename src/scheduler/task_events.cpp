// Events of a task that workers and clients report, passed on to the modules that learn from them.
#include <algorithm>

#include "scheduler/colocation.h"
#include "scheduler/numeric.h"
#include "scheduler/scheduler_core.h"

namespace whinpost {
namespace {

constexpr Nanos kStallThreshold = kSecond;
constexpr double kMinServiceShare = 0.05;
constexpr double kRuntimeWeight = 0.1;

// Whether the outcome of an attempt counts as a failure of its worker or its task.
bool is_failure(AttemptOutcome outcome, OutcomeReason reason, bool was_accepted) {
    switch (outcome) {
        case AttemptOutcome::failed:
        case AttemptOutcome::connect_failed:
        case AttemptOutcome::timed_out:
            return true;
        case AttemptOutcome::reset:
            return !was_accepted || reason == OutcomeReason::unspecified;
        case AttemptOutcome::completed:
        case AttemptOutcome::rejected:
        case AttemptOutcome::cancelled:
        case AttemptOutcome::not_sent:
        case AttemptOutcome::unknown:
            return false;
    }
    return false;
}

}  // namespace

// Whether the scheduler itself was stalled. Events of that time are then all delivered at once, and do not
// show how long workers took. Guards against learning from such delays. Seldom true without a stall, as some
// report arrives every second.
bool SchedulerCore::was_stalled(Nanos now) const { return now - last_round_at_ > kStallThreshold; }

void SchedulerCore::on_accepted(Nanos now, Task& task) {
    if (task.settled || !task.worker) return;
    task.accepted = true;
    capacity_.on_accepted(now, *task.worker);
    if (!was_stalled(now)) capacity_.on_answer_time(scheduler::to_seconds(now - task.sent_at));
    if (config_.acceptance.accepts_when_running) on_started(now, task);
}

void SchedulerCore::on_running(Nanos now, Task& task) {
    if (task.worker && !task.running) on_started(now, task);
}

void SchedulerCore::on_started(Nanos now, Task& task) {
    task.running = true;
    outliers_.on_started(now, task);
    scheduler::mark_running(now, task);
    if (was_stalled(now)) return;
    const double latency_s = scheduler::to_seconds(now - task.sent_at);
    if (!config_.acceptance.reports_pressure) outliers_.on_start_latency(now, task, latency_s);
    interference_.observe_start(task, latency_s);
}

void SchedulerCore::on_cores_used(const Task& task, double cores) {
    if (!task.worker) return;
    interference_.observe_cores(*task.service, cores);
    capacity_.on_cores_used(task, cores);
}

void SchedulerCore::on_memory_used(const Task& task, double memory) {
    if (task.worker) capacity_.on_memory_used(task, memory);
}

void SchedulerCore::on_service_share(Nanos now, Task& task, double share) {
    if (!task.worker || !task.accepted) return;
    const double slowdown = 1.0 / std::max(share, kMinServiceShare) - 1.0;
    task.has_service_report = true;
    const double predicted = interference_.predict(*task.worker, *task.service);
    outliers_.on_residual_slowdown(now, *task.worker, std::max(0.0, slowdown - predicted));
    interference_.observe(task, slowdown);
    if (!migration_.should_migrate(now, task, active_set_.fleet_utilization(), random_)) return;
    task.settled = true;
    handler_.migrate(task);
}

void SchedulerCore::on_worker_memory(Nanos now, const Task& task, double share) {
    if (task.worker) capacity_.on_memory_pressure(now, *task.worker, share);
}

void SchedulerCore::on_load_report(Nanos now, Worker& worker, const LoadReport& report) {
    health_checks_.on_report(now, worker);
    for (Task* task : queue_)
        if (task->health_checks) task->not_before = 0;
    capacity_.on_load_report(now, worker, report);
}

void SchedulerCore::on_completed(Nanos now, Task& task) {
    const double runtime_s = scheduler::to_seconds(now - task.sent_at);
    double& mean = task.service->mean_runtime_s;
    mean = scheduler::moving_average(mean > 0 ? mean : runtime_s, runtime_s, kRuntimeWeight);
    if (config_.acceptance.reports_pressure && !task.has_service_report && task.running)
        interference_.observe(task, 0);  // a task without a service share report had full service
}

void SchedulerCore::on_attempt_rejected(Nanos now, Task& task, Worker& worker, OutcomeReason reason) {
    capacity_.on_rejected(now, task, worker, reason);
    if (reason == OutcomeReason::unspecified) outliers_.on_worker_fault(now, task, worker);
    task.rejected_by.push_back(&worker);
}

void SchedulerCore::on_attempt_ended(Nanos now, Task& task, AttemptOutcome outcome, OutcomeReason reason,
                                     bool closed, const LoadReport& report) {
    if (!task.worker) return;
    Worker& worker = *task.worker;
    on_load_report(now, worker, report);
    const bool was_accepted = task.accepted;
    if (outcome == AttemptOutcome::completed) on_completed(now, task);
    retry_.on_attempt_ended(task, outcome);
    if (reason == OutcomeReason::evicted) capacity_.on_memory_pressure(now, worker, 1);
    if (reason == OutcomeReason::drained) capacity_.on_drained(now, worker);
    scheduler::detach_task(now, task);
    capacity_.on_task_left(now, task, worker, was_accepted);
    if (outcome == AttemptOutcome::rejected) {
        on_attempt_rejected(now, task, worker, reason);
    } else if (is_failure(outcome, reason, was_accepted)) {
        if (outcome == AttemptOutcome::failed) outliers_.on_task_failed(now, task, worker);
        else outliers_.on_worker_fault(now, task, worker);
        task.rejected_by.push_back(&worker);
    }
    if (closed) close(task);
    if (task.settled) return;
    task.accepted = task.running = false;
    if (retry_.may_retry(now, task)) enqueue(task);
    else send_answer(task);
}

}  // namespace whinpost
