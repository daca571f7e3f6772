// Applies endpoint updates of the discovery service to the membership, and forwards each change of a worker's
// state to the ledger, the planner, slow start and the worker's connection.
#pragma once
#include <string_view>

#include "membership/membership.h"
#include "server/server_context.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::v1 {
class Endpoint;
class EndpointUpdate;
}  // namespace whinpost::v1

namespace whinpost::server {

class DiscoveryClient;
class SlowStartController;
class TaskRecovery;
class WorkerEndpoint;

class MembershipController final : private membership::MembershipHandler {
public:
    // `drain_grace`, `load_report_replaces_listed`: see membership::Membership.
    MembershipController(ServerContext&, WorkerEndpoint&, SlowStartController&, TaskRecovery&,
                         Nanos drain_grace, bool load_report_replaces_listed);

    // Not owned. Set before the first update.
    void set_discovery(DiscoveryClient* discovery) { discovery_ = discovery; }

    // Applies an update of the discovery service. All its endpoints must have passed check_endpoint().
    void on_update(const v1::EndpointUpdate&);
    void on_discovery_failed(std::string_view reason);
    // Requests a snapshot of the endpoint list, also if updates are pushed.
    void refresh_endpoints(Nanos now);

    membership::Membership& membership() { return membership_; }
    const membership::Membership& membership() const { return membership_; }

private:
    template <void (MembershipController::*Method)()>
    struct ControllerTimer final : timer_wheel::Timer {
        explicit ControllerTimer(MembershipController& owner) : controller(owner) {}
        void on_deadline(Nanos) override { (controller.*Method)(); }
        MembershipController& controller;
    };

    void on_worker_changed(Nanos now, membership::WorkerEntry&, bool careful) override;
    void on_drain_started(Nanos now, membership::WorkerEntry&) override;
    void on_drain_revoked(Nanos now, membership::WorkerEntry&) override;
    void on_snapshot_needed(Nanos now) override { refresh_endpoints(now); }
    void on_address_changed(Nanos now, membership::WorkerEntry&) override;
    void wake_at(Nanos at) override;

    void update_entry(Nanos now, const v1::Endpoint&);
    void on_membership_deadline();
    void on_planner_view_due();
    void complete_planner_view(Nanos now);

    ServerContext& context_;
    WorkerEndpoint& workers_;
    SlowStartController& slow_start_;
    TaskRecovery& recovery_;
    membership::Membership membership_;
    DiscoveryClient* discovery_ = nullptr;
    ControllerTimer<&MembershipController::on_membership_deadline> membership_timer_;
    ControllerTimer<&MembershipController::on_planner_view_due> planner_view_timer_;
    bool planner_view_changed_ = false;  // since the latest planner::Planner::on_watch_event_done()
    bool planner_started_ = false;       // by the first endpoint update
    bool discovery_failing_ = false;
};

}  // namespace whinpost::server
