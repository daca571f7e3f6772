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
                       const EndpointList& endpoints)
        : context_(context), tasks_(tasks), lifecycle_(lifecycle), endpoints_(endpoints) {}

    bool adopt(const RunningTaskReport&, ClientConnection*) override;
    void on_report_dropped(const RunningTaskReport&, ClientConnection*) override;
    // The worker has said something of an adopted task: it runs there under that id.
    void on_task_confirmed(InFlightTask&);

private:
    void report_known(InFlightTask&, const RunningTaskReport&, ClientConnection*);
    static void add_reporter(InFlightTask&, const std::string& client_address);
    void end_at_once(InFlightTask&, platform_codec::Cause cause);
    void supersede(InFlightTask& earlier, const InFlightTask& later);

    const ServerContext& context_;
    TaskTable& tasks_;
    TaskLifecycle& lifecycle_;
    const EndpointList& endpoints_;
};

}  // namespace whinpost::platform
