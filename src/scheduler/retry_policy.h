// Decides where a task may be placed, how long an attempt may take, and which final answer a task gets.
#pragma once
#include "whinpost/attempt_outcome.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class RetryPolicy {
public:
    // accepts_when_running: workers accept an attempt only when its task runs.
    RetryPolicy(const RetrySettings& settings, bool accepts_when_running)
        : max_attempts_(settings.max_attempts), accepts_when_running_(accepts_when_running) {}

    // Whether the task may be placed on the worker: no attempt is in flight, attempts and time are left, the
    // worker is serving and of the required kind, a repeated run cannot take effect twice, and the service
    // stays within its limit per spread domain. The budget of workers that are warming up is enforced by
    // Capacity.
    bool may_place(Nanos now, const Task&, const Worker&) const;
    // Whether one more attempt is allowed on at least one worker.
    bool may_retry(Nanos now, const Task&) const;
    // Whether the final answer may be a rejection, which tells the client that submitting the task again is
    // safe. Otherwise the answer is a failure, after which the task may have run.
    bool may_reject(const Task&) const;
    // mean_answer_time_s: the mean time from an attempt to its acceptance, in seconds.
    Nanos attempt_timeout(Nanos now, const Task&, double mean_answer_time_s) const;
    // Time at which a task that is still without a worker gets its final answer.
    Nanos give_up_at(const Task&) const;
    // Must be called while Task::worker is still set.
    void on_attempt_ended(Task&, AttemptOutcome) const;

private:
    const int max_attempts_;
    const bool accepts_when_running_;
};

}  // namespace whinpost::scheduler
