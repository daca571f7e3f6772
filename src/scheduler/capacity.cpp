#include "scheduler/capacity.h"

#include <algorithm>

#include "scheduler/numeric.h"

namespace whinpost {
namespace {

constexpr Nanos kChangeBucket = 250 * kMillisecond;  // 16 buckets: changes of the last four seconds
// Unanswered attempts per worker; its queue is short, and other schedulers use it, too.
constexpr double kInitialQueueLimit = 8;

}  // namespace

WorkerCapacity::WorkerCapacity()
    : recent_cores(kChangeBucket), recent_memory(kChangeBucket), queue_limit(kInitialQueueLimit) {}

namespace scheduler {
namespace {

// Age limits of load information, and limits on the load itself.
constexpr Nanos kReportValid = 3 * kSecond;  // use changes within seconds, so older reports are misleading
constexpr Nanos kPressureValid = 2 * kSecond;
// Buckets (1.5 s) of this scheduler's changes that a late endpoint list may not show yet.
constexpr int kListLag = 6;
constexpr int kReportLag = 3;        // the same for a load report (0.75 s)
constexpr double kMaxMemory = 0.98;  // above kFullMemory, because a rejection costs more than the slowdown
constexpr double kUnknownUse = 0.7;  // assumed ratio of use to requests before the first report
constexpr double kUseDecay = 0.995;  // per report, so that the ratio reflects the last few hundred reports
constexpr double kPreemptibleShare = 0.9;  // with 0.8, more starts were lost than preemptions avoided

// The limit on unanswered attempts per worker. Guards against bursts that overflow a worker's queue, and
// against workers that stop answering (stalled, unreachable, or accepting connections without any answer). A
// rejection as queue_full halves the limit, each acceptance raises it; a worker whose answers are overdue
// gets no more attempts. Could send a burst to other workers that have not loaded the program.
constexpr double kQueueLimitStep = 0.2;  // five acceptances allow one more attempt
constexpr double kMaxQueueLimit = 4 * kInitialQueueLimit;
constexpr double kSilenceFactor = 4;               // times the mean answer time
constexpr Nanos kMinSilence = 200 * kMillisecond;  // a slow worker answers a few attempts in that time
constexpr double kAnswerWeight = 0.05;

constexpr Nanos kRejectionValid = 700 * kMillisecond;  // a few tasks end on a worker in that time
constexpr Nanos kFullQueueValid = 300 * kMillisecond;  // a worker empties its queue of attempts in that time
constexpr Nanos kUnavailableValid = 2 * kSecond;  // it probably drains; the endpoint list shows it by then
constexpr Nanos kDrainedValid = 5 * kSecond;  // the worker drains; even a late endpoint list shows it by then
constexpr double kUnlimitedAmount = 1e18;     // larger than any request

}  // namespace

double Capacity::use_ratio(double used, double requested) {
    return requested > 0 ? used / requested : kUnknownUse;
}

// Starts from the requests in the endpoint list plus this scheduler's changes that the list may not show yet,
// and estimates their use with the mean use ratios. A current report raises each value that it exceeds.
WorkerLoad Capacity::load(Nanos now, Worker& worker, const ResourceRequest& request) const {
    WorkerCapacity& state = worker.capacity;
    const double all_cores = worker.kind->cores, all_memory = worker.kind->memory;
    const double core_ratio = core_use_ratio(), memory_ratio = memory_use_ratio();
    WorkerLoad load{all_cores - worker.endpoint.free_cores + state.recent_cores.sum(now, kListLag),
                    all_memory - worker.endpoint.free_memory + state.recent_memory.sum(now, kListLag), 0, 0};
    const LoadReport& report = state.load_report;
    const bool fresh = state.load_report_at && now - state.load_report_at < kReportValid;
    const double reported_cores = all_cores - report.free_cores;
    const double reported_memory = all_memory - report.free_memory;
    const double late_cores = state.recent_cores.sum(now, kReportLag);
    const double late_memory = state.recent_memory.sum(now, kReportLag);
    if (fresh && !acceptance_.reports_use) {
        if (report.has_free_cores)
            load.requested_cores = std::max(load.requested_cores, reported_cores + late_cores);
        if (report.has_free_memory)
            load.requested_memory = std::max(load.requested_memory, reported_memory + late_memory);
    }
    load.requested_cores += request.cores;
    load.requested_memory += request.memory;
    load.used_cores = load.requested_cores * core_ratio;
    load.used_memory = load.requested_memory * memory_ratio;
    if (fresh && report.has_utilization)
        load.used_cores = std::max(
            load.used_cores, report.utilization * all_cores + (late_cores + request.cores) * core_ratio);
    if (fresh && acceptance_.reports_use) {
        if (report.has_free_cores && !report.has_utilization)
            load.used_cores =
                std::max(load.used_cores, reported_cores + (late_cores + request.cores) * core_ratio);
        if (report.has_free_memory)
            load.used_memory =
                std::max(load.used_memory, reported_memory + (late_memory + request.memory) * memory_ratio);
    }
    if (state.memory_pressure_at && now - state.memory_pressure_at < kPressureValid)
        load.used_memory =
            std::max(load.used_memory, state.memory_pressure * all_memory + request.memory * memory_ratio);
    return load;
}

bool Capacity::is_silent(Nanos now, const Worker& worker) const {
    return worker.capacity.unanswered &&
           now - worker.capacity.unanswered_since >
               std::max(kMinSilence, from_seconds(kSilenceFactor * mean_answer_time_s_));
}

// Departure from the design (preemption): a task leaves room for queue groups of higher priority, which would
// otherwise preempt it.
double Capacity::usable_share(const Task& task, const Worker& worker) const {
    if (!acceptance_.preempts) return 1;
    for (const QueueGroup& group : groups_)
        if (group.priority > task.queue_group->priority &&
            (group.worker_kind < 0 || group.worker_kind == worker.endpoint.kind))
            return kPreemptibleShare;
    return 1;
}

bool Capacity::has_room(Nanos now, const Task& task, Worker& worker) const {
    const WorkerCapacity& state = worker.capacity;
    if (now < state.blocked_until || state.unanswered >= state.queue_limit) return false;
    if (slow_start_.is_warming_up(now, worker) && !slow_start_.allows(now, worker)) return false;
    if (std::find(task.rejected_by.begin(), task.rejected_by.end(), &worker) != task.rejected_by.end())
        return false;
    if (is_silent(now, worker)) return false;
    if (now < state.rejected_until &&
        (task.request.cores >= state.rejected_cores || task.request.memory >= state.rejected_memory))
        return false;
    const WorkerLoad with_task = load(now, worker, task.request);
    const double share = usable_share(task, worker);
    return with_task.requested_cores <= share * acceptance_.cores_overcommit * worker.kind->cores &&
           with_task.requested_memory <= share * acceptance_.memory_overcommit * worker.kind->memory &&
           with_task.used_memory <= kMaxMemory * worker.kind->memory;
}

void Capacity::on_attempt_sent(Nanos now, const Task& task, Worker& worker) const {
    WorkerCapacity& state = worker.capacity;
    if (!state.unanswered++) state.unanswered_since = now;
    state.own_cores += task.request.cores;
    state.own_memory += task.request.memory;
    state.recent_cores.add(now, task.request.cores);
    state.recent_memory.add(now, task.request.memory);
}

void Capacity::on_accepted(Nanos now, Worker& worker) const {
    WorkerCapacity& state = worker.capacity;
    --state.unanswered;
    state.unanswered_since = now;
    state.queue_limit = std::min(kMaxQueueLimit, state.queue_limit + kQueueLimitStep);
}

void Capacity::on_answer_time(double seconds) {
    mean_answer_time_s_ = moving_average(mean_answer_time_s_, seconds, kAnswerWeight);
}

void Capacity::on_task_left(Nanos now, const Task& task, Worker& worker, bool accepted) const {
    WorkerCapacity& state = worker.capacity;
    if (!accepted) {
        --state.unanswered;
        state.unanswered_since = now;
    }
    state.own_cores -= task.request.cores;
    state.own_memory -= task.request.memory;
    state.recent_cores.add(now, -task.request.cores);
    state.recent_memory.add(now, -task.request.memory);
}

void Capacity::on_adopted(Worker& worker) const {
    worker.capacity.recent_cores.clear();
    worker.capacity.recent_memory.clear();
    --worker.capacity.unanswered;
}

void Capacity::on_rejected(Nanos now, const Task& task, Worker& worker, OutcomeReason reason) const {
    WorkerCapacity& state = worker.capacity;
    switch (reason) {
        case OutcomeReason::no_cores:
        case OutcomeReason::no_memory:
            state.rejected_until = now + kRejectionValid;
            state.rejected_cores = reason == OutcomeReason::no_cores ? task.request.cores : kUnlimitedAmount;
            state.rejected_memory =
                reason == OutcomeReason::no_memory ? task.request.memory : kUnlimitedAmount;
            return;
        case OutcomeReason::queue_full:
            state.blocked_until = now + kFullQueueValid;
            state.queue_limit = std::max(1.0, state.queue_limit / 2);
            return;
        case OutcomeReason::not_available:
        case OutcomeReason::evicted:
        case OutcomeReason::preempted:
        case OutcomeReason::drained:
            if (!task.first_possible_run) state.blocked_until = now + kUnavailableValid;
            return;
        case OutcomeReason::unspecified:
            return;  // not caused by load; OutlierDetection counts it as a failure
    }
}

// Guards against tasks that return to a draining worker: clients submit the tasks that it ended again at
// once, seconds before the endpoint list shows the drain, and the worker would be preferred because it last
// ran their program.
void Capacity::on_drained(Nanos now, Worker& worker) const {
    worker.capacity.blocked_until = now + kDrainedValid;
}

void Capacity::on_load_report(Nanos now, Worker& worker, const LoadReport& report) const {
    if (!report.has_free_cores && !report.has_utilization && !report.has_free_memory) return;
    worker.capacity.load_report = report;
    worker.capacity.load_report_at = now;
}

void Capacity::on_memory_pressure(Nanos now, Worker& worker, double share) const {
    worker.capacity.memory_pressure = share;
    worker.capacity.memory_pressure_at = now;
}

void Capacity::on_cores_used(const Task& task, double cores) {
    used_cores_ = used_cores_ * kUseDecay + cores;
    requested_cores_ = requested_cores_ * kUseDecay + task.request.cores;
}

void Capacity::on_memory_used(const Task& task, double memory) {
    used_memory_ = used_memory_ * kUseDecay + memory;
    requested_memory_ = requested_memory_ * kUseDecay + task.request.memory;
}

void Capacity::on_restarted(Worker& worker) const {
    worker.capacity.memory_pressure = 0;
    worker.capacity.blocked_until = 0;
}

}  // namespace scheduler
}  // namespace whinpost
