// Tasks that run already when a client names them: taken over from another placer, or from this one's last
// life.
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
    // The worker has said something of an adopted task: it runs there under that id.
    void on_task_confirmed(InFlightTask&);
    // Whether the client may wait on that connection for the end of a task which was reported on it again.
    bool may_wait_on(const ClientConnection&) const;
    void on_client_left(const ClientConnection&);

private:
    // A report that came again, on a connection that holds nothing else.
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
    // Whether the connection on which the task was reported before may be dead.
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
