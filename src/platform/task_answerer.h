// Ends each request once: with an answer decided by the planner or at the deadline, or without one if the
// client cancels.
#pragma once
#include "platform/task_lifecycle.h"

namespace whinpost::platform {

class TaskAnswerer final : public AnswerDeadlineHandler {
public:
    TaskAnswerer(const ServerContext&, TaskTable&, TaskLifecycle&);

    // Decisions of the planner; ignored if the task was already answered or discarded.
    void reject(planner::TaskNumber, Nanos retry_after);
    void fail(planner::TaskNumber);
    // Answers at once, failed if an attempt may have run and rejected otherwise, and cancels at the planner.
    void answer_without_planner(InFlightTask&);
    // Ends a request without an answer: its client cancelled it or the connection broke.
    void cancel(InFlightTask&);
    // Answers in place of the planner, which did not decide in time.
    void on_answer_deadline(InFlightTask&, Nanos now) override;

private:
    void answer(InFlightTask&, ledger::Answer, Nanos retry_after);
    void end_cancelled(InFlightTask&);

    const ServerContext& context_;
    TaskTable& tasks_;
    TaskLifecycle& lifecycle_;
};

}  // namespace whinpost::platform
