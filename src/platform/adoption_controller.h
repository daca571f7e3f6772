// Adopts running tasks that clients report: those placed by another placer, or by this one before a restart.
#pragma once
#include <string>
#include <vector>

#include "platform/endpoint_list.h"
#include "platform/task_lifecycle.h"
#include "platform/task_recovery.h"

namespace whinpost::platform {

class AdoptionController final : public TaskAdopter {
public:
    // `workers_report_tasks`: workers send messages about running tasks, by the deployment's settings.
    AdoptionController(const ServerContext& context, TaskTable& tasks, TaskLifecycle& lifecycle,
                       ReleaseController& releases, const EndpointList& endpoints, bool workers_report_tasks)
        : context_(context), tasks_(tasks), lifecycle_(lifecycle), releases_(releases), endpoints_(endpoints),
          workers_report_tasks_(workers_report_tasks) {}

    bool adopt(const RunningTaskReport&, ClientConnection*) override;
    void on_report_dropped(const RunningTaskReport&, ClientConnection*) override;
    // Called at the worker's first message about an adopted task: it runs there under that id. `after`: the
    // time since the report.
    void on_task_confirmed(InFlightTask&, Nanos after);
    // How long after a report its worker would have sent a message about the task if it ran there.
    Nanos confirmation_timeout(Nanos worker_started_at) const;
    // Whether clients are closed that have only reported tasks which no worker has confirmed: they may
    // misbehave, and one that does not comes back. Their tasks are kept. Not where no worker has to send
    // messages about running tasks, since nothing tells the clients apart there.
    bool closes_unconfirmed_clients() const { return workers_report_tasks_ && !workers_confirm_reports(); }
    // A report of another task, on another connection, with the id of a reported task that is not confirmed.
    struct CompetingReport {
        RunningTaskReport report;
        ledger::ConnectionNumber connection;
    };
    // To be called before a reported task ends as unconfirmed: returns the competing reports, whose clients
    // are then not sent the end of that task. They are to be adopted in its place.
    std::vector<CompetingReport> take_competing(InFlightTask&);
    // Whether a task was reported again on this connection and its end may now have to be sent there, or
    // another task with the same id was reported first.
    bool may_wait_on(const ClientConnection&) const;
    void on_client_left(const ClientConnection&);

private:
    // A report of a task that is already known, received on another connection than the task's own.
    struct RepeatedReport {
        std::uint64_t task;
        ledger::ConnectionNumber connection;
        Nanos reported_at;
    };
    void report_known(InFlightTask&, const RunningTaskReport&, ClientConnection*);
    void add_reporter(InFlightTask&, const RunningTaskReport&, const ClientConnection*);
    void remember_competing(const RunningTaskReport&, const ClientConnection&);
    void remember_repeated(const InFlightTask&, const ClientConnection&);
    static bool is_likelier_owner(const ClientConnection&, const InFlightTask&);
    void swap_owner(InFlightTask&, ClientConnection&);
    // Whether the task's own connection may be dead, so that its client now waits on the newer one.
    bool may_have_moved(const RepeatedReport&) const;
    void supersede(InFlightTask& earlier, const InFlightTask& later);

    const ServerContext& context_;
    TaskTable& tasks_;
    TaskLifecycle& lifecycle_;
    ReleaseController& releases_;
    // Whether workers have been seen to send a message about a task as soon as it is reported.
    bool workers_confirm_reports() const { return prompt_confirmations_ > late_confirmations_; }

    const EndpointList& endpoints_;
    const bool workers_report_tasks_;
    std::uint64_t prompt_confirmations_ = 0, late_confirmations_ = 0;
    std::vector<RepeatedReport> repeated_reports_;
    std::vector<CompetingReport> competing_reports_;
};

}  // namespace whinpost::platform
