// What the workers' side of the server tells the rest of it, and asks of it.
#pragma once
#include <cstdint>
#include <string_view>

#include "platform/in_flight_task.h"
#include "platform_codec/message.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class PooledWorker;

// Told what becomes of attempts and running tasks.
class WorkerHandler {
public:
    virtual ~WorkerHandler() = default;
    // Whether an attempt that has waited for its connection may still be sent.
    virtual bool may_send(InFlightTask&) = 0;
    virtual void on_attempt_accepted(InFlightTask&, std::string_view description) = 0;
    // An attempt ended before it was accepted.
    virtual void on_attempt_ended(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&) = 0;
    // A running task ended; `cause` is the worker's, as the client is to be told.
    virtual void on_task_ended(InFlightTask&, AttemptOutcome, OutcomeReason, platform_codec::Cause cause,
                               const LoadReport&) = 0;
    // A running task is taken to be over without its worker's word.
    virtual void on_task_lost(InFlightTask&, ledger::TaskLossReason) = 0;
    // Its worker has said something of a task that was only reported so far.
    virtual void on_task_confirmed(InFlightTask&) = 0;
    // Whether discovery has told all that it knew a while ago.
    virtual bool is_endpoint_list_current() const = 0;
    // Whether the client of a running task has reported another one that was confirmed.
    virtual bool is_client_trusted(const InFlightTask&) const = 0;
    virtual void on_task_metric(InFlightTask&, std::string_view metric, double value) = 0;
    virtual void on_load_report(PooledWorker&, const LoadReport&) = 0;  // in the reply to a health check
};

// Grants file descriptors for connections to workers.
class ConnectionReserver {
public:
    virtual ~ConnectionReserver() = default;
    // True: one more connection to this worker may be opened, and is counted until on_connection_ended().
    virtual bool reserve_connection(PooledWorker&) = 0;
    virtual void on_connection_ended() = 0;
};

}  // namespace whinpost::platform
