// The steps that tasks go through, whoever causes them: answered, running, attempt ended, discarded.
#pragma once
#include "platform/client_server.h"
#include "platform/release_controller.h"
#include "platform/server_context.h"
#include "platform/task_table.h"

namespace whinpost::platform {

class TaskLifecycle {
public:
    TaskLifecycle(const ServerContext&, TaskTable&, ClientServer&, ReleaseController&);

    // Records a final answer and sends it to the client. What is in flight goes on.
    void send_answer(InFlightTask&, ledger::Answer, Nanos retry_after);
    // The task runs on that worker now.
    void start_running(InFlightTask&, PooledWorker&);
    // The attempt in flight, or the running task, has ended. `closed`: nothing is owed any more, and the task
    // is discarded.
    void end_attempt(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&, bool closed);
    // The running task is over: its clients are told, and it is discarded.
    void end_running(InFlightTask&, AttemptOutcome, OutcomeReason, platform_codec::Cause, const LoadReport&);
    // Tells each client that waits for the running task that it has ended.
    void notify_task_ended(InFlightTask&, platform_codec::Cause cause);
    // The same where one of them has ended it, on that connection, and is owed nothing.
    void notify_others_of_end(const InFlightTask&, const ClientConnection& by, platform_codec::Cause cause);
    // The end of the running task is to be sent on that connection of its client.
    void move_to_connection(InFlightTask&, ClientConnection&);
    // Nothing more can come of it. The object is freed at the end of the round.
    void discard(InFlightTask&);
    // The connection on which the task was placed or last reported, and others on which it was, are looked up
    // again: this one has left.
    void on_client_left(InFlightTask&, const ClientConnection&);

private:
    const ServerContext& context_;
    TaskTable& tasks_;
    ClientServer& clients_;
    ReleaseController& releases_;
};

}  // namespace whinpost::platform
