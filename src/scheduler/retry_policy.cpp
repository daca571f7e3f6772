#include "scheduler/retry_policy.h"

#include <algorithm>

#include "scheduler/numeric.h"
#include "whinpost/service.h"

namespace whinpost::scheduler {
namespace {

constexpr double kGiveUpShare = 0.5;  // of the queue timeout
constexpr double kAnswerFactor = 8;   // times the usual answer: a hasty timeout leaves a second copy
constexpr double kStartShare = 0.6;   // of the time left, where the answer comes with the task's run
constexpr double kLeastTimeoutS = 0.4;

bool proves_not_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::connect_failed ||
           outcome == AttemptOutcome::not_sent;
}

bool key_expired(Nanos now, const Task& task) {
    return now - task.first_possible_run_at >= task.queue_group->deduplication_window;
}

// Whether two workers drop repeats that the other has run.
bool shares_keys(FailureDomain domain, const Worker& first, const Worker& second) {
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

// Tasks of the task's service in the worker's failure domain. Workers that left the endpoint list may still
// have some.
int tasks_in_domain(const Task& task, const Worker& worker, FailureDomain domain) {
    int count = 0;
    for (Worker* other : task.service->workers)
        if (shares_keys(domain, *other, worker)) count += other->find_service(task.service)->tasks;
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
        if (!shares_keys(group.deduplicated_by, *task.first_possible_run, worker)) return false;
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

// Only while no attempt may have run, or where any worker would drop the repeat.
bool RetryPolicy::may_reject(const Task& task) const {
    const QueueGroup& group = *task.queue_group;
    if (group.effect == Effect::idempotent) return true;
    if (task.worker) return false;
    return !task.first_possible_run ||
           (group.effect == Effect::keyed && group.deduplicated_by == FailureDomain::all);
}

// An attempt that says nothing is given up so that another still fits, but never before many times the usual
// answer. A task whose repeat could do harm waits for its queue timeout.
Nanos RetryPolicy::attempt_timeout(Nanos now, const Task& task, double usual_answer_s) const {
    const Nanos left = task.deadline - now;
    if (task.queue_group->effect == Effect::side_effecting || task.attempts + 1 >= max_attempts_) return left;
    const double least_s = accepts_when_running_ ? to_seconds(left) * kStartShare : kLeastTimeoutS;
    const Nanos timeout = from_seconds(std::max(kAnswerFactor * usual_answer_s, least_s));
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
