#include "server/task_answers.h"

#include <algorithm>
#include <utility>

#include "server/client_connection.h"

namespace whinpost::server {

namespace {
using log::Level;

// How long an attempt that was given up is kept, so that a late AttemptAccepted for it is still recognized.
// Longer than an attempt can wait in a worker's queues.
constexpr Nanos kRetention = 30 * kSecond;

v1::TaskEnded::Outcome wire_outcome(const InFlightTask& task, AttemptOutcome outcome, OutcomeReason reason) {
    switch (outcome) {
        case AttemptOutcome::completed:
            return v1::TaskEnded::COMPLETED;
        case AttemptOutcome::failed:
            return v1::TaskEnded::FAILED;
        case AttemptOutcome::cancelled:
            return task.is_migrating ? v1::TaskEnded::MIGRATED : v1::TaskEnded::CANCELLED;
        case AttemptOutcome::unknown:
        case AttemptOutcome::rejected:
        case AttemptOutcome::timed_out:
        case AttemptOutcome::connect_failed:
        case AttemptOutcome::reset:
        case AttemptOutcome::not_sent:
            break;
    }
    return reason == OutcomeReason::unspecified ? v1::TaskEnded::LOST : v1::TaskEnded::RESET;
}
}  // namespace

void TaskAnswers::send_answer(InFlightTask& task, ledger::Answer answer, Nanos retry_after,
                              std::string_view reason) {
    ledger::TaskRecord& record = *task.record;
    if (!context_.ledger.record_answer(context_.now(), record, answer)) return;
    const bool rejected = answer == ledger::Answer::rejected;
    task.answer_deadline.disarm();
    stop_counting_as_waiting(task);
    if (task.client) {
        v1::ToClient message;
        if (rejected) {
            message.mutable_rejected()->set_id(task.client_task_id);
            message.mutable_rejected()->set_retry_after(retry_after);
            message.mutable_rejected()->set_reason(std::string(reason));
        } else {
            message.mutable_failed()->set_id(task.client_task_id);
            message.mutable_failed()->set_reason(std::string(reason));
        }
        task.client->send(message);
        if (answer == ledger::Answer::failed && task.late_attempt) send_late_attempt(task);
    }
    if (context_.log.enabled(Level::debug))
        context_.log(Level::debug, rejected ? "task_rejected" : "task_failed",
                     {{"task", record.key}, {"reason", reason}});
    context_.rounds.defer([this, number = record.number] {
        if (InFlightTask* still_held = tasks_.find(number)) retire_if_closed(*still_held);
    });
}

void TaskAnswers::send_placed(InFlightTask& task, const ledger::Attempt& attempt) {
    if (!task.client) return;
    v1::ToClient message;
    message.mutable_placed()->set_id(task.client_task_id);
    message.mutable_placed()->set_worker(attempt.worker->name);
    task.client->send(message);
}

void TaskAnswers::send_running(InFlightTask& task) {
    if (!task.client) return;
    v1::ToClient message;
    message.mutable_running()->set_id(task.client_task_id);
    task.client->send(message);
}

void TaskAnswers::send_ended(InFlightTask& task, AttemptOutcome outcome, OutcomeReason reason) {
    if (!task.client) return;
    v1::ToClient message;
    v1::TaskEnded& ended = *message.mutable_ended();
    ended.set_id(task.client_task_id);
    ended.set_outcome(wire_outcome(task, outcome, reason));
    ended.set_reason(static_cast<v1::Reason>(reason));
    task.client->send(message);
}

void TaskAnswers::send_late_attempt(InFlightTask& task) {
    if (!task.client) return;
    v1::ToClient message;
    message.mutable_found()->set_id(task.client_task_id);
    message.mutable_found()->set_worker(task.late_attempt->worker->name);
    task.client->send(message);
    ++context_.statistics.late_accepts_reported;
}

void TaskAnswers::send_lost(ClientConnection& client, std::uint64_t client_task_id) {
    v1::ToClient message;
    message.mutable_ended()->set_id(client_task_id);
    message.mutable_ended()->set_outcome(v1::TaskEnded::LOST);
    client.send(message);
}

void TaskAnswers::stop_counting_as_waiting(InFlightTask& task) {
    if (!std::exchange(task.counted_as_waiting, false)) return;
    context_.admission.on_answered(task.client ? &*task.client->share : nullptr,
                                   task.record->queue_group_index);
}

void TaskAnswers::retire_if_closed(InFlightTask& task) {
    const ledger::TaskRecord& record = *task.record;
    if (!record.closed) return;
    task.answer_deadline.disarm();
    task.attempt_deadline.disarm();
    const bool may_be_accepted_late =
        std::any_of(record.attempts.begin(), record.attempts.end(),
                    [](const ledger::Attempt& attempt) { return attempt.may_have_run && !attempt.accepted; });
    const bool is_settled = !may_be_accepted_late || record.answer == ledger::Answer::placed;
    if (task.client && !task.late_attempt && is_settled) task.client->open_tasks.erase(task.client_task_id);
    if (task.retention.armed()) return;
    // Any other task is kept for a moment too, since its own code may be calling.
    context_.timers.arm(task.retention, context_.now() + (may_be_accepted_late ? kRetention : kMillisecond));
}

void TaskAnswers::erase(InFlightTask& task) {
    ledger::TaskRecord& record = *task.record;
    if (task.client) task.client->open_tasks.erase(task.client_task_id);
    tasks_.erase(task);
    context_.ledger.erase_task(record);
}

}  // namespace whinpost::server
