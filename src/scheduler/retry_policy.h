// The rules at each placement, how long an attempt may take, and which final answer is owed.
#pragma once
#include "whinpost/attempt_outcome.h"
#include "whinpost/scheduler_settings.h"
#include "whinpost/task.h"
#include "whinpost/worker.h"

namespace whinpost::scheduler {

class RetryPolicy {
public:
    // accepts_when_running: workers answer an attempt only when the task runs.
    RetryPolicy(const RetrySettings& settings, bool accepts_when_running)
        : max_attempts_(settings.max_attempts), accepts_when_running_(accepts_when_running) {}

    // The rules: never two attempts in flight, no more than the stated number, nothing to a worker that
    // drains or is gone, nothing again where it could take effect twice, no service above its stated spread.
    // The budget of workers that warm up is Capacity's to hold.
    bool may_place(Nanos now, const Task&, const Worker&) const;
    // Whether any worker might get one more attempt.
    bool may_retry(Nanos now, const Task&) const;
    // A rejection says that submitting again is harmless. Otherwise the answer is a failure, which promises
    // nothing.
    bool may_reject(const Task&) const;
    // usual_answer_s: the usual time from an attempt to its acceptance.
    Nanos attempt_timeout(Nanos now, const Task&, double usual_answer_s) const;
    // A task that has waited until then without a worker gets its final answer.
    Nanos give_up_at(const Task&) const;
    // Called before the task leaves its worker.
    void on_attempt_ended(Task&, AttemptOutcome) const;

private:
    const int max_attempts_;
    const bool accepts_when_running_;
};

}  // namespace whinpost::scheduler
