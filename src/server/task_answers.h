// Gives each client its answers, and forgets a task once nothing more can come of it.
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

    // The final answer of a task that was not placed: rejected, to be retried after `retry_after`, or failed.
    // Does nothing if the task has its answer already.
    void send_answer(InFlightTask&, ledger::Answer, Nanos retry_after, std::string_view reason);
    void send_placed(InFlightTask&, const ledger::Attempt&);
    void send_running(InFlightTask&);
    // The end of an attempt that was placed.
    void send_ended(InFlightTask&, AttemptOutcome, OutcomeReason);
    // Where the late attempt of a failed task is (task.late_attempt).
    void send_late_attempt(InFlightTask&);
    // Of a task handed over whose worker is gone.
    void send_lost(ClientConnection&, std::uint64_t client_task_id);

    // The task no longer counts among those that wait for an answer.
    void stop_counting_as_waiting(InFlightTask&);
    // Schedules the end of a closed task; does nothing for any other.
    void retire_if_closed(InFlightTask&);
    // Forgets the task and destroys it.
    void erase(InFlightTask&);

private:
    ServerContext& context_;
    TaskTable& tasks_;
};

}  // namespace whinpost::server
