// Sends clients the answers and events of their tasks, and destroys a task once no message about it can
// arrive.
#pragma once
#include <cstdint>
#include <string_view>

#include "server/in_flight_task.h"
#include "server/server_context.h"
#include "server/task_table.h"

namespace whinpost::server {

class TaskAnswers {
public:
    TaskAnswers(ServerContext& context, TaskTable& tasks) : context_(context), tasks_(tasks) {}

    // Sends the final answer for a task that was not placed: TaskRejected, with `retry_after`, or TaskFailed.
    // Does nothing if the task already has its answer.
    void send_answer(InFlightTask&, ledger::Answer, Nanos retry_after, std::string_view reason);
    void send_placed(InFlightTask&, const ledger::Attempt&);
    void send_running(InFlightTask&);
    // Sends TaskEnded for an attempt that was placed.
    void send_ended(InFlightTask&, AttemptOutcome, OutcomeReason);
    // Sends TaskFound with the worker of task.late_attempt. Only for a task that was answered with
    // TaskFailed.
    void send_late_attempt(InFlightTask&);
    // Sends TaskEnded with LOST for a task that was handed over and whose worker is gone.
    void send_lost(ClientConnection&, std::uint64_t client_task_id);

    // Removes the task from admission control's count of tasks that wait for an answer.
    void stop_counting_as_waiting(InFlightTask&);
    // Schedules the destruction of a closed task; does nothing for any other task.
    void retire_if_closed(InFlightTask&);
    // Destroys the task and its record in the ledger.
    void erase(InFlightTask&);

private:
    ServerContext& context_;
    TaskTable& tasks_;
};

}  // namespace whinpost::server
