#include "platform/task_answerer.h"

#include "platform/pooled_worker.h"

namespace whinpost::platform {

using ledger::Answer;

TaskAnswerer::TaskAnswerer(const ServerContext& context, TaskTable& tasks, TaskLifecycle& lifecycle)
    : context_(context), tasks_(tasks), lifecycle_(lifecycle) {}

void TaskAnswerer::reject(planner::TaskNumber number, Nanos retry_after) {
    if (InFlightTask* task = tasks_.find(number)) answer(*task, Answer::rejected, retry_after);
}

void TaskAnswerer::fail(planner::TaskNumber number) {
    if (InFlightTask* task = tasks_.find(number)) answer(*task, Answer::failed, 0);
}

void TaskAnswerer::answer(InFlightTask& task, Answer wanted, Nanos retry_after) {
    if (task.record->answer != Answer::none) return;
    // A task that may have run must not be rejected, even if the planner rejects it.
    const bool check = wanted == Answer::rejected;
    lifecycle_.send_answer(task, check ? context_.ledger.rejected_or_failed(*task.record) : wanted,
                           retry_after);
    if (!task.record->in_flight) return lifecycle_.discard(task);
    task.worker->abandon_attempt(task);
    if (!context_.rounds.in_round()) return end_cancelled(task);
    context_.rounds.defer([this, number = task.record->number] {
        InFlightTask* remaining = tasks_.find(number);
        if (remaining && remaining->record->in_flight) end_cancelled(*remaining);
    });
}

void TaskAnswerer::end_cancelled(InFlightTask& task) {
    lifecycle_.end_attempt(task, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
}

void TaskAnswerer::answer_without_planner(InFlightTask& task) {
    const planner::TaskNumber number = task.record->number;
    answer(task, context_.ledger.rejected_or_failed(*task.record), 0);
    context_.planner().cancel(context_.now(), number);
}

void TaskAnswerer::on_answer_deadline(InFlightTask& task, Nanos) {
    if (task.record->answer != Answer::none) return;
    ++context_.ledger.statistics().answered_by_deadline;
    context_.log(log::Level::warning, "answered_by_deadline", {{"task", task.name}});
    answer_without_planner(task);
    context_.rounds.schedule();
}

void TaskAnswerer::cancel(InFlightTask& task) {
    const Nanos now = context_.now();
    if (task.record->answer != Answer::none) return;
    context_.ledger.record_answer(now, *task.record, Answer::cancelled);
    if (task.client) task.client->remove_open_request();
    task.client = nullptr;
    context_.planner().cancel(now, task.record->number);
    if (!task.record->in_flight) return lifecycle_.discard(task);
    task.worker->abandon_attempt(task);
    end_cancelled(task);
}

}  // namespace whinpost::platform
