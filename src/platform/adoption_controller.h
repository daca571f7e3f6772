// Adopts running tasks that clients report: those placed by another placer, or by this one before a restart.
#pragma once
#include <string>

#include "platform/endpoint_list.h"
#include "platform/task_lifecycle.h"
#include "platform/task_recovery.h"

namespace whinpost::platform {

class AdoptionController final : public TaskAdopter {
public:
    AdoptionController(const ServerContext& context, TaskTable& tasks, TaskLifecycle& lifecycle,
                       ReleaseController& releases, const EndpointList& endpoints)
        : context_(context), tasks_(tasks), lifecycle_(lifecycle), releases_(releases),
          endpoints_(endpoints) {}

    bool adopt(const RunningTaskReport&, ClientConnection*) override;
    void on_report_dropped(const RunningTaskReport&, ClientConnection*) override;
    // Called at the worker's first message about an adopted task: it runs there under that id.
    void on_task_confirmed(InFlightTask&);
    // Whether a task was reported again on this connection and its end may now have to be sent there.
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
    const EndpointList& endpoints_;
    std::vector<RepeatedReport> repeated_reports_;
};

}  // namespace whinpost::platform
