// Attempts and running tasks: carries out what the planner decides about them, and tells it what became of
// them.
#pragma once
#include <set>

#include "platform/adoption_controller.h"
#include "platform/discovery_watch.h"
#include "platform/endpoint_list.h"
#include "platform/task_lifecycle.h"
#include "platform/worker_handler.h"

namespace whinpost::platform {

class AttemptController final : public WorkerHandler, public AttemptTimeoutHandler {
public:
    AttemptController(const ServerContext&, TaskTable&, TaskLifecycle&, const EndpointList&,
                      const DiscoveryWatch&, WorkerPool&, ClientServer&, AdoptionController&,
                      ReleaseController&);

    // The planner's decisions, called from within its round; without effect where the task is gone.
    void place(planner::TaskNumber, planner::WorkerNumber, Nanos timeout);
    void migrate(planner::TaskNumber);
    void cancel_attempt(planner::TaskNumber);

    // The client has a connection: its tasks that were to be migrated when it had none are migrated now.
    void resume_migrations(const ClientConnection&);
    // The client no longer wants its running task.
    void cancel_running(InFlightTask&);

    bool may_send(InFlightTask&) override;
    void on_attempt_accepted(InFlightTask&, std::string_view description) override;
    void on_attempt_ended(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&) override;
    void on_task_ended(InFlightTask&, AttemptOutcome, OutcomeReason, platform_codec::Cause cause,
                       const LoadReport&) override;
    void on_task_lost(InFlightTask&, ledger::TaskLossReason) override;
    void on_task_confirmed(InFlightTask&) override;
    bool is_endpoint_list_current() const override { return watch_.is_current(); }
    bool is_client_trusted(const InFlightTask& task) const override {
        return task.client && task.client->confirmed_tasks() > 0;
    }
    void on_task_metric(InFlightTask&, std::string_view metric, double value) override;
    void on_load_report(PooledWorker&, const LoadReport&) override;
    void on_attempt_timeout(InFlightTask&) override;

private:
    void defer_not_sent(planner::TaskNumber);
    void migrate_now(InFlightTask&);

    const ServerContext& context_;
    TaskTable& tasks_;
    TaskLifecycle& lifecycle_;
    const EndpointList& endpoints_;
    const DiscoveryWatch& watch_;
    WorkerPool& pool_;
    ClientServer& clients_;
    AdoptionController& adoptions_;
    ReleaseController& releases_;
    // Put off until their clients have a connection.
    std::set<planner::TaskNumber> pending_migrations_;
};

}  // namespace whinpost::platform
