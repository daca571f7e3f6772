// Gives each client its one final answer, whoever decides it: the planner, the deadline, or the client that
// cancels.
#pragma once
#include "platform/task_lifecycle.h"

namespace whinpost::platform {

class TaskAnswerer final : public AnswerDeadlineHandler {
public:
    TaskAnswerer(const ServerContext&, TaskTable&, TaskLifecycle&);

    // The planner's decisions; without effect where the task has its answer, or is gone.
    void reject(planner::TaskNumber, Nanos retry_after);
    void fail(planner::TaskNumber);
    // Answers at once, with what is true of the task, and tells the planner.
    void answer_honestly(InFlightTask&);
    // Cancelled by its client, or its connection broke: no answer is owed.
    void cancel(InFlightTask&);
    // The planner has said nothing in time.
    void on_answer_deadline(InFlightTask&, Nanos now) override;

private:
    void answer(InFlightTask&, ledger::Answer, Nanos retry_after);
    void end_cancelled(InFlightTask&);

    const ServerContext& context_;
    TaskTable& tasks_;
    TaskLifecycle& lifecycle_;
};

}  // namespace whinpost::platform
