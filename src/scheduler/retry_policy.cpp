#include "scheduler/retry_policy.h"

#include <algorithm>

#include "scheduler/numeric.h"
#include "whinpost/service.h"

namespace whinpost::scheduler {
namespace {

constexpr double kGiveUpShare = 0.5;  // share of the queue timeout
// Multiple of the mean answer time. An early timeout may leave a second copy of the task running.
constexpr double kAnswerFactor = 8;
// Share of the time left that an attempt gets at least, if workers accept it only when its task runs.
constexpr double kStartShare = 0.6;
constexpr double kMinTimeoutS = 0.4;

bool proves_not_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connect_failed ||
           outcome == AttemptOutcome::not_sent;
}

bool key_expired(Nanos now, const Task& task) {
    return now - task.first_possible_run_at >= task.queue_group->deduplication_window;
}

// Whether both workers are in the same failure domain of this size.
bool in_same_domain(FailureDomain domain, const Worker& first, const Worker& second) {
    switch (domain) {
        case FailureDomain::worker:
            return &first == &second;
        case FailureDomain::cell:
            return first.endpoint.cell == second.endpoint.cell;
        case FailureDomain::zone:
            return first.endpoint.zone == second.endpoint.zone;
        case FailureDomain::none:
        case FailureDomain::all:
            return true;
    }
    return true;
}

// Number of tasks of the task's service in the worker's failure domain. Workers that left the endpoint list
// count, as they may still run tasks.
int tasks_in_domain(const Task& task, const Worker& worker, FailureDomain domain) {
    int count = 0;
    for (Worker* other : task.service->workers)
        if (in_same_domain(domain, *other, worker)) count += other->find_service(task.service)->tasks;
    return count;
}

}  // namespace

bool RetryPolicy::may_place(Nanos now, const Task& task, const Worker& worker) const {
    const QueueGroup& group = *task.queue_group;
    if (task.settled || task.worker || task.attempts >= max_attempts_ || now >= task.deadline) return false;
    if (!worker.listing.is_listed || worker.endpoint.phase != EndpointPhase::serving) return false;
    if (group.worker_kind >= 0 && worker.endpoint.kind != group.worker_kind) return false;
    if (task.first_possible_run && group.effect == Effect::side_effecting) return false;
    if (task.first_possible_run && group.effect == Effect::keyed) {
        if (key_expired(now, task)) return false;
        if (!in_same_domain(group.deduplicated_by, *task.first_possible_run, worker)) return false;
    }
    return group.spread_domain == FailureDomain::none ||
           tasks_in_domain(task, worker, group.spread_domain) < group.max_per_domain;
}

bool RetryPolicy::may_retry(Nanos now, const Task& task) const {
    if (task.attempts >= max_attempts_ || now >= task.deadline) return false;
    if (!task.first_possible_run) return true;
    switch (task.queue_group->effect) {
        case Effect::idempotent:
            return true;
        case Effect::keyed:
            return !key_expired(now, task);
        case Effect::side_effecting:
            return false;
    }
    return false;
}

// A rejection is safe if no attempt can have run, or if a repeated run has no effect on any worker.
bool RetryPolicy::may_reject(const Task& task) const {
    const QueueGroup& group = *task.queue_group;
    if (group.effect == Effect::idempotent) return true;
    if (task.worker) return false;
    return !task.first_possible_run ||
           (group.effect == Effect::keyed && group.deduplicated_by == FailureDomain::all);
}

// An attempt without an answer times out early enough for another one, but not before kAnswerFactor times the
// mean answer time. If less than 30% of the time would be left for the other, or a repeated run could do
// harm, the timeout is all the time left.
Nanos RetryPolicy::attempt_timeout(Nanos now, const Task& task, double mean_answer_time_s) const {
    const Nanos left = task.deadline - now;
    if (task.queue_group->effect == Effect::side_effecting || task.attempts + 1 >= max_attempts_) return left;
    const double least_s = accepts_when_running_ ? to_seconds(left) * kStartShare : kMinTimeoutS;
    const Nanos timeout = from_seconds(std::max(kAnswerFactor * mean_answer_time_s, least_s));
    return timeout > left * 7 / 10 ? left : timeout;
}

Nanos RetryPolicy::give_up_at(const Task& task) const {
    return task.submitted_at + from_seconds(to_seconds(task.deadline - task.submitted_at) * kGiveUpShare);
}

void RetryPolicy::on_attempt_ended(Task& task, AttemptOutcome outcome) const {
    if (task.accepted || task.first_possible_run || proves_not_run(outcome)) return;
    task.first_possible_run = task.worker;
    task.first_possible_run_at = task.sent_at;
}

}  // namespace whinpost::scheduler
