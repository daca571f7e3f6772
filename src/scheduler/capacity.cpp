#include "scheduler/capacity.h"

#include <algorithm>

#include "scheduler/numeric.h"

namespace whinpost {
namespace {

constexpr Nanos kChangeBucket = 250 * kMillisecond;  // 16 buckets: four seconds of own changes
constexpr double kInitialQueueLimit = 8;  // unanswered attempts at one worker: a short queue, shared

}  // namespace

WorkerCapacity::WorkerCapacity()
    : recent_cores(kChangeBucket), recent_memory(kChangeBucket), queue_limit(kInitialQueueLimit) {}

namespace scheduler {
namespace {

// Load that workers report or list.
constexpr Nanos kReportValid = 3 * kSecond;  // use changes over some seconds; older reports mislead
constexpr Nanos kPressureValid = 2 * kSecond;
constexpr int kListLag = 6;    // buckets of own changes (1.5 s) that a late list is taken not to show yet
constexpr int kReportLag = 3;  // the same for a report
constexpr double kMaxMemory = 0.98;        // for the least slowed worker with room: rejecting costs more
constexpr double kUnknownUse = 0.7;        // use over requests before any report: between none and all of it
constexpr double kUseDecay = 0.995;        // use over requests is that of the last few hundred reports
constexpr double kPreemptibleShare = 0.9;  // a fifth left free cost more starts than it spared preemptions

// Guards against queues of attempts that overflow in a rush, and against workers that go silent (they stand
// still, are cut off, or accept and never answer): the queue that a worker may have halves when it says that
// it is full and grows with each acceptance, and a worker that has owed answers for long gets nothing more.
// Could send a rush to workers without the program.
constexpr double kQueueLimitStep = 0.2;  // five answers make room for one more
constexpr double kMaxQueueLimit = 4 * kInitialQueueLimit;
constexpr double kSilentAnswers = 4;                  // times the usual answer
constexpr Nanos kSilentAtLeast = 200 * kMillisecond;  // a few attempts' time on a slow worker
constexpr double kAnswerWeight = 0.05;

constexpr Nanos kRejectionValid = 700 * kMillisecond;  // a few tasks end on a worker in that time
constexpr Nanos kFullQueueValid = 300 * kMillisecond;  // a queue of attempts is worked off in that time
constexpr Nanos kUnavailableValid = 2 * kSecond;       // it drains, and the endpoint list will soon say so
constexpr Nanos kDrainedValid = 5 * kSecond;           // it drains for sure; late lists come within that
constexpr double kAnyAmount = 1e18;                    // larger than any request

}  // namespace

double Capacity::use_ratio(double used, double requested) {
    return requested > 0 ? used / requested : kUnknownUse;
}

// The list's requests and this scheduler's own changes that the list cannot show yet, their use by the usual
// ratio, and where a report is fresher and says more, that.
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
               std::max(kSilentAtLeast, from_seconds(kSilentAnswers * usual_answer_s_));
}

// Departure from the design (preemption): room is left for those that would preempt this task.
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
    usual_answer_s_ = moving_average(usual_answer_s_, seconds, kAnswerWeight);
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
            state.rejected_cores = reason == OutcomeReason::no_cores ? task.request.cores : kAnyAmount;
            state.rejected_memory = reason == OutcomeReason::no_memory ? task.request.memory : kAnyAmount;
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
            return;  // the load says nothing of it; counted as a failure, see OutlierDetection
    }
}

// Guards against the rush back: what a draining worker sends away is submitted again at once, seconds before
// the endpoint list names the drain, and would be sent to the very worker that last held its program.
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
