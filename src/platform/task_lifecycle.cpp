#include "platform/task_lifecycle.h"

#include <string>
#include <utility>

#include "platform/pooled_worker.h"

namespace whinpost::platform {

TaskLifecycle::TaskLifecycle(const ServerContext& context, TaskTable& tasks, ClientServer& clients,
                             ReleaseController& releases)
    : context_(context), tasks_(tasks), clients_(clients), releases_(releases) {}

void TaskLifecycle::send_answer(InFlightTask& task, ledger::Answer answer, Nanos retry_after) {
    context_.ledger.record_answer(context_.now(), *task.record, answer);
    context_.log(log::Level::info, answer == ledger::Answer::rejected ? "request_rejected" : "request_failed",
                 {{"task", task.name},
                  {"id", task.id},
                  {"attempts", task.record->attempts.size()},
                  {"retry_after_ms", retry_after / kMillisecond},
                  {"connected", task.client != nullptr}});
    if (!task.client) return;
    task.client->remove_open_request();
    const platform_codec::Cause cause =
        answer == ledger::Answer::rejected ? platform_codec::Cause::try_later : platform_codec::Cause::reset;
    task.client->send_release(task.id, cause, retry_after);
    task.client = nullptr;
}

void TaskLifecycle::start_running(InFlightTask& task, PooledWorker& worker) {
    worker.add_running(task);
    tasks_.add_running(task);
    if (task.client && !std::exchange(task.counted_for_client, true))
        task.client->add_running_task(task.liveness.is_confirmed());
}

void TaskLifecycle::end_attempt(InFlightTask& task, AttemptOutcome outcome, OutcomeReason reason,
                                const LoadReport& report, bool closed) {
    const Nanos now = context_.now();
    ledger::TaskRecord& record = *task.record;
    const planner::TaskNumber number = record.number;
    task.attempt_timeout.disarm();
    const std::string worker = record.attempts.empty() ? "" : record.attempts.back().worker->name;
    task.worker = nullptr;
    task.running = false;
    const int attempt = static_cast<int>(record.attempts.size()) - 1;
    if (record.in_flight) context_.ledger.on_ended(now, *record.in_flight, outcome);
    closed = closed || record.closed;
    const bool is_retry = !closed && outcome != AttemptOutcome::rejected;
    if (!closed) ++context_.statistics.attempts_retried;
    context_.log(is_retry ? log::Level::info : log::Level::debug, "attempt_ended",
                 {{"task", task.name},
                  {"id", task.id},
                  {"worker", worker},
                  {"outcome", static_cast<int>(outcome)},
                  {"reason", static_cast<int>(reason)},
                  {"closed", closed}});
    context_.planner().on_attempt_ended(now, number, attempt, outcome, reason, closed, report);
    if (closed)
        if (InFlightTask* remaining = tasks_.find(number)) discard(*remaining);
    context_.rounds.schedule();
}

void TaskLifecycle::end_running(InFlightTask& task, AttemptOutcome outcome, OutcomeReason reason,
                                platform_codec::Cause cause, const LoadReport& report) {
    task.worker->remove_running(task, false);
    notify_task_ended(task, cause);
    end_attempt(task, outcome, reason, report, true);
}

// It is unknown which of several reporters waits for the task, so each is sent its own release. A reporter
// whose connection is closed, at the address of the task's client, is reached by the release for that client.
void TaskLifecycle::notify_task_ended(InFlightTask& task, platform_codec::Cause cause) {
    releases_.send_release(task.id, task.name, cause, {task.client_address, task.client});
    for (const InFlightTask::OtherReporter& other : task.other_reporters) {
        ClientConnection* connection = clients_.find(other.connection);
        if (connection || other.address != task.client_address)
            releases_.send_release(task.id, task.name, cause, {other.address, connection});
    }
}

// A task may be ended on any connection, so its client may be waiting on a different one.
void TaskLifecycle::notify_others_of_end(const InFlightTask& task, const ClientConnection& by,
                                         platform_codec::Cause cause) {
    if (task.client != &by)
        releases_.send_release(task.id, task.name, cause, {task.client_address, task.client});
    for (const InFlightTask::OtherReporter& other : task.other_reporters) {
        ClientConnection* connection = clients_.find(other.connection);
        if (connection && connection != &by)
            releases_.send_release(task.id, task.name, cause, {other.address, connection});
    }
}

void TaskLifecycle::move_to_connection(InFlightTask& task, ClientConnection& connection) {
    const bool confirmed = task.liveness.is_confirmed();
    if (std::exchange(task.counted_for_client, true) && task.client)
        task.client->remove_running_task(confirmed);
    task.client = &connection;
    connection.add_running_task(confirmed);
}

// The same client may have reported the task on another connection from its address.
void TaskLifecycle::on_client_left(InFlightTask& task, const ClientConnection& left) {
    if (task.client != &left) return;
    task.client = nullptr;
    task.client_left_at = context_.now();
    task.counted_for_client = false;
    for (auto other = task.other_reporters.begin(); other != task.other_reporters.end(); ++other) {
        ClientConnection* connection = clients_.find(other->connection);
        if (!connection || other->address != task.client_address) continue;
        task.other_reporters.erase(other);
        return move_to_connection(task, *connection);
    }
}

void TaskLifecycle::discard(InFlightTask& task) {
    if (!tasks_.remove(task)) return;
    if (std::exchange(task.counted_for_client, false) && task.client)
        task.client->remove_running_task(task.liveness.is_confirmed());
    context_.ledger.erase_task(*task.record);
    task.record = nullptr;
    context_.rounds.schedule();
}

}  // namespace whinpost::platform
