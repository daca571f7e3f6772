// Callbacks from the connections to workers to the rest of the server.
#pragma once
#include <cstdint>
#include <string_view>

#include "platform/in_flight_task.h"
#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class PooledWorker;

// Receives the events of attempts and running tasks.
class WorkerHandler {
public:
    virtual ~WorkerHandler() = default;
    // Whether an attempt that waited for its connection may still be sent.
    virtual bool may_send(InFlightTask&) = 0;
    virtual void on_attempt_accepted(InFlightTask&, std::string_view description) = 0;
    // An attempt ended before it was accepted.
    virtual void on_attempt_ended(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&) = 0;
    // A running task ended. `cause` comes from the worker and is passed on to the client.
    virtual void on_task_ended(InFlightTask&, AttemptOutcome, OutcomeReason, platform_codec::Cause cause,
                               const LoadReport&) = 0;
    // A running task is assumed to be over, without a release from its worker.
    virtual void on_task_lost(InFlightTask&, ledger::TaskLossReason) = 0;
    // A task was known only from its client's report, and its worker has now sent a message about it.
    // `after`: the time since the report.
    virtual void on_task_confirmed(InFlightTask&, Nanos after) = 0;
    // Whether the discovery watch is up and not silent, so that the endpoint list is up to date.
    virtual bool is_endpoint_list_current() const = 0;
    // Whether the client of a running task has reported another task that its worker confirmed.
    virtual bool is_client_trusted(const InFlightTask&) const = 0;
    // How long after a client's report the worker would have sent a message about the task if it ran there.
    // `worker_started_at`: 0: before this placer started.
    virtual Nanos confirmation_timeout(Nanos worker_started_at) const = 0;
    virtual void on_task_metric(InFlightTask&, std::string_view metric, double value) = 0;
    virtual void on_load_report(PooledWorker&, const LoadReport&) = 0;  // from the reply to a health check
};

// Grants file descriptors for connections to workers.
class ConnectionReserver {
public:
    virtual ~ConnectionReserver() = default;
    // Returns true if one more connection to this worker may be opened. It then counts until
    // on_connection_ended() is called.
    virtual bool reserve_connection(PooledWorker&) = 0;
    virtual void on_connection_ended() = 0;
};

}  // namespace whinpost::platform
