// Carries out the planner's decisions on attempts and running tasks, and reports their results to the
// planner.
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

    // Decisions of the planner, called during its round; ignored if the task no longer exists.
    void place(planner::TaskNumber, planner::WorkerNumber, Nanos timeout);
    void migrate(planner::TaskNumber);
    void cancel_attempt(planner::TaskNumber);

    // To be called when the client has connected: carries out the migrations that waited for its connection.
    void resume_migrations(const ClientConnection&);
    // Ends a running task that its client has cancelled.
    void cancel_running(InFlightTask&);

    bool may_send(InFlightTask&) override;
    void on_attempt_accepted(InFlightTask&, std::string_view description) override;
    void on_attempt_ended(InFlightTask&, AttemptOutcome, OutcomeReason, const LoadReport&) override;
    void on_task_ended(InFlightTask&, AttemptOutcome, OutcomeReason, platform_codec::Cause cause,
                       const LoadReport&) override;
    void on_task_lost(InFlightTask&, ledger::TaskLossReason) override;
    void on_task_confirmed(InFlightTask&, Nanos after) override;
    bool is_endpoint_list_current() const override { return watch_.is_current(); }
    bool is_client_trusted(const InFlightTask& task) const override {
        return task.client && task.client->confirmed_tasks() > 0;
    }
    Nanos confirmation_timeout(Nanos worker_started_at) const override {
        return adoptions_.confirmation_timeout(worker_started_at);
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
    // Migrations that wait until the task's client has a connection.
    std::set<planner::TaskNumber> pending_migrations_;
};

}  // namespace whinpost::platform
