// The steps that tasks go through, whoever causes them: answered, running, attempt ended, discarded.
#pragma once
#include "platform/client_server.h"
#include "platform/pending_releases.h"
#include "platform/server_context.h"
#include "platform/task_table.h"

namespace whinpost::platform {

class TaskLifecycle {
public:
    TaskLifecycle(const ServerContext&, TaskTable&, ClientServer&, PendingReleases&);

    // Records a final answer and sends it to the client. What is in flight goes on.
    void send_answer(InFlightTask&, ledger::Answer, Nanos retry_after);
    // The task runs on that worker now.
    void start_running(InFlightTask&, PooledWorker&);
    // The attempt in flight, or the running task, has ended. `closed`: nothing is owed any more, and the task
    // is discarded.
    void end_attempt(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&, bool closed);
    // Tells the client that its running task has ended, now or on its next connection.
    void notify_task_ended(InFlightTask&, platform_codec::Cause cause);
    // The same where only the id is known. `connection`: a connection of the client; null: any from its
    // address.
    void notify_ended(const PendingRelease&, ClientConnection* connection);
    // The end of the running task is to be sent on that connection of its client.
    void move_to_connection(InFlightTask&, ClientConnection&);
    // Nothing more can come of it. The object is freed at the end of the round.
    void discard(InFlightTask&);
    // The client's connection, or another one of the same client; null where there is none.
    ClientConnection* connection_of(const InFlightTask&) const;

private:
    const ServerContext& context_;
    TaskTable& tasks_;
    ClientServer& clients_;
    PendingReleases& pending_releases_;
};

}  // namespace whinpost::platform
