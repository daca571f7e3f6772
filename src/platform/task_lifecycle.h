// State changes of tasks: answered, running, attempt ended, discarded.
#pragma once
#include "platform/client_server.h"
#include "platform/release_controller.h"
#include "platform/server_context.h"
#include "platform/task_table.h"

namespace whinpost::platform {

class TaskLifecycle {
public:
    TaskLifecycle(const ServerContext&, TaskTable&, ClientServer&, ReleaseController&);

    // Records a final answer and sends it to the client. An attempt in flight continues.
    void send_answer(InFlightTask&, ledger::Answer, Nanos retry_after);
    // Registers the task as running on that worker.
    void start_running(InFlightTask&, PooledWorker&);
    // Records the end of the attempt in flight or of the running task. `closed`: the client needs no further
    // message, and the task is discarded.
    void end_attempt(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&, bool closed);
    // Ends a running task: sends a release to its clients and discards it.
    void end_running(InFlightTask&, AttemptOutcome, OutcomeReason, platform_codec::Cause, const LoadReport&);
    // Sends a release to each client that may wait for the end of the running task.
    void notify_task_ended(InFlightTask&, platform_codec::Cause cause);
    // Like notify_task_ended(), but leaves out the connection on which a client ended the task.
    void notify_others_of_end(const InFlightTask&, const ClientConnection& by, platform_codec::Cause cause);
    // Makes this connection the one on which the end of the running task is sent.
    void move_to_connection(InFlightTask&, ClientConnection&);
    // Removes the task. The object is freed at the end of the round.
    void discard(InFlightTask&);
    // Called when a connection has ended. If it was the task's own, another one from the same address on
    // which the task was reported replaces it.
    void on_client_left(InFlightTask&, const ClientConnection&);

private:
    const ServerContext& context_;
    TaskTable& tasks_;
    ClientServer& clients_;
    ReleaseController& releases_;
};

}  // namespace whinpost::platform
