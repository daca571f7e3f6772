// Running tasks that clients hand over to this placer after it has started or another placer has ended. A
// task is adopted as soon as its worker is known, and reported as lost once the worker is known to be gone.
#pragma once
#include "proto/client.pb.h"
#include "recovery/recovery_queue.h"
#include "server/task_controller.h"

namespace whinpost::server {

class MembershipController;

// A task that was handed over and whose worker is not known yet. Owned by its client's connection.
struct PendingAdoption {
    ClientConnection& client;
    v1::HandOverTask request;
    recovery::PendingRecovery* recovery;  // not owned: owned by the RecoveryQueue
    bool is_cancelled = false;            // by its client; CancelAttempt is sent once the worker is known
};

class TaskRecovery final : private recovery::RecoveryHandler {
public:
    TaskRecovery(ServerContext&, TaskController&, TaskAnswers&, WorkerEndpoint&, MembershipController&);

    // Adopts the task, reports it as lost, or queues it. The request must have passed check_request().
    void hand_over(ClientConnection&, const v1::HandOverTask&);
    // Drops the client's tasks that were handed over and are not adopted yet.
    void on_client_disconnected(ClientConnection&);

    recovery::RecoveryQueue& queue() { return queue_; }
    const recovery::RecoveryQueue& queue() const { return queue_; }

private:
    void on_worker_known(Nanos now, recovery::PendingRecovery&) override;
    void on_worker_gone(Nanos now, recovery::PendingRecovery&) override;
    void on_snapshot_needed(Nanos now) override;
    void wake_at(Nanos at) override;

    ServerContext& context_;
    TaskController& tasks_;
    TaskAnswers& answers_;
    WorkerEndpoint& workers_;
    MembershipController& membership_;
    recovery::RecoveryQueue queue_;
};

}  // namespace whinpost::server
