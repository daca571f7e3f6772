// Tasks that clients hand over after this placer's start or another's end: they run on workers already. A
// task is adopted as soon as its worker is known, and reported lost once the worker is known to be gone.
#pragma once
#include "proto/client.pb.h"
#include "recovery/recovery_queue.h"
#include "server/task_controller.h"

namespace whinpost::server {

class MembershipController;

// A task whose worker is not known yet. Owned by its client's connection.
struct PendingAdoption {
    ClientConnection& client;
    v1::HandOverTask request;
    recovery::PendingRecovery* recovery;  // the queue's
    bool is_cancelled = false;            // by its client: cancelled as soon as its worker is known
};

class TaskRecovery final : private recovery::RecoveryHandler {
public:
    TaskRecovery(ServerContext&, TaskController&, TaskAnswers&, WorkerEndpoint&, MembershipController&);

    // Of a request that was checked.
    void hand_over(ClientConnection&, const v1::HandOverTask&);
    // The client has gone: what it handed over and is not adopted yet is dropped.
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
