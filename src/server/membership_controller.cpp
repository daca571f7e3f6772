#include "server/membership_controller.h"

#include <algorithm>

#include "proto/discovery.pb.h"
#include "server/discovery_client.h"
#include "server/slow_start_controller.h"
#include "server/task_recovery.h"
#include "server/worker_endpoint.h"

namespace whinpost::server {

namespace {
using log::Level;

// Changes of workers' states that come from no endpoint update are collected for this long before
// on_watch_event_done(), at which the planner sorts all workers. The change itself is passed to the planner
// at once, so a worker that stops taking tasks gets no more in the meantime.
constexpr Nanos kPlannerViewInterval = 100 * kMillisecond;

EndpointPhase endpoint_phase(v1::Endpoint::Phase phase) {
    if (phase == v1::Endpoint::SERVING) return EndpointPhase::serving;
    return phase == v1::Endpoint::DRAINING ? EndpointPhase::draining : EndpointPhase::gone;
}
}  // namespace

MembershipController::MembershipController(ServerContext& context, WorkerEndpoint& workers,
                                           SlowStartController& slow_start, TaskRecovery& recovery,
                                           Nanos drain_grace, bool load_report_replaces_listed)
    : context_(context), workers_(workers), slow_start_(slow_start), recovery_(recovery),
      membership_(*this, context.now(), drain_grace, load_report_replaces_listed), membership_timer_(*this),
      planner_view_timer_(*this) {}

void MembershipController::on_update(const v1::EndpointUpdate& update) {
    const Nanos now = context_.now();
    const Nanos age = std::max<Nanos>(update.age(), 0);
    ++context_.statistics.endpoint_updates;
    discovery_failing_ = false;
    membership_.begin_update(now, age, update.is_snapshot());
    for (const v1::Endpoint& endpoint : update.endpoints()) update_entry(now, endpoint);
    membership_.end_update(now);
    // The planner is notified of all workers before it is notified of the tasks that run on them.
    recovery::RecoveryQueue& queue = recovery_.queue();
    for (const v1::Endpoint& endpoint : update.endpoints())
        if (queue.size() && endpoint.phase() != v1::Endpoint::GONE)
            queue.on_worker_listed(now, endpoint.worker());
    queue.on_update(now, now - age, update.is_snapshot());
    complete_planner_view(now);
    if (!planner_started_) {
        planner_started_ = true;
        context_.planner->start(now);
    }
    context_.log(update.is_snapshot() ? Level::info : Level::debug, "endpoints_updated",
                 {{"sequence", update.sequence()},
                  {"snapshot", update.is_snapshot()},
                  {"endpoints", update.endpoints_size()},
                  {"age_ms", update.age() / kMillisecond}});
    context_.rounds.schedule_round();
}

void MembershipController::update_entry(Nanos now, const v1::Endpoint& endpoint) {
    WorkerPeer& peer = workers_.find_or_add(endpoint.worker());
    EndpointState state;
    state.zone = static_cast<int>(endpoint.zone());
    state.cell = static_cast<int>(endpoint.cell());
    state.kind = static_cast<int>(endpoint.kind());
    state.free_cores = endpoint.free_cores();
    state.free_memory = endpoint.free_memory();
    state.phase = endpoint_phase(endpoint.phase());
    state.started_at = endpoint.uptime() > 0 ? now - endpoint.uptime() : 0;
    membership_.on_endpoint(now, peer.entry, state, endpoint.address());
}

void MembershipController::on_discovery_failed(std::string_view reason) {
    context_.log(Level::warning, "discovery_failed", {{"reason", reason}});
    discovery_failing_ = true;
    if (planner_started_) context_.planner->on_watch_failed(context_.now());
    context_.rounds.schedule_round();
}

void MembershipController::refresh_endpoints(Nanos now) {
    context_.log(Level::info, "endpoints_refetched",
                 {{"workers", membership_.size()},
                  {"snapshot_suspected", membership_.has_doubtful_snapshot()},
                  {"pending_recoveries", recovery_.queue().size()},
                  {"age_ms", membership_.endpoints_age(now) / kMillisecond}});
    discovery_->fetch();
}

void MembershipController::on_worker_changed(Nanos now, membership::WorkerEntry& entry, bool) {
    WorkerPeer& peer = workers_.at(entry.number);
    // The ledger gets the endpoint as listed, not the effective one that the membership derives from it: the
    // ledger checks the planner's decisions independently of the membership.
    EndpointState listed = entry.listed.endpoint;
    listed.started_at = entry.effective_endpoint.started_at;
    if (entry.listed.is_omitted) context_.ledger.on_removed(now, peer.record);
    else context_.ledger.on_endpoint(now, peer.record, listed);
    context_.planner->on_endpoint(now, peer.number, stable_hash(entry.name), entry.effective_endpoint);
    slow_start_.update_tokens(now, peer.warming);
    slow_start_.tokens().on_worker_changed(now, peer.warming, entry.state == membership::WorkerState::serving,
                                           entry.effective_endpoint.started_at);
    if (entry.effective_endpoint.phase == EndpointPhase::gone) peer.connection.on_worker_gone(now);
    else peer.connection.set_wanted(now, true);
    if (context_.log.enabled(Level::debug))
        context_.log(Level::debug, "worker_state",
                     {{"worker", entry.name},
                      {"state", membership::to_string(entry.state)},
                      {"because", membership_.explain(now, entry)}});
    if (!planner_view_changed_) {
        planner_view_changed_ = true;
        context_.timers.arm(planner_view_timer_, now + kPlannerViewInterval);
    }
    context_.rounds.schedule_round();
}

void MembershipController::on_drain_started(Nanos now, membership::WorkerEntry& entry) {
    workers_.at(entry.number).connection.on_drain(now);
    context_.log(Level::info, "worker_draining",
                 {{"worker", entry.name}, {"because", membership_.explain(now, entry)}});
}

void MembershipController::on_drain_revoked(Nanos now, membership::WorkerEntry& entry) {
    context_.log(Level::info, "worker_drain_revoked",
                 {{"worker", entry.name}, {"because", membership_.explain(now, entry)}});
}

void MembershipController::on_address_changed(Nanos, membership::WorkerEntry& entry) {
    context_.rounds.defer([this, &entry] { workers_.at(entry.number).connection.reconnect(context_.now()); });
}

void MembershipController::wake_at(Nanos at) {
    if (!membership_timer_.armed() || at < membership_timer_.deadline())
        context_.timers.arm(membership_timer_, at);
}

void MembershipController::on_membership_deadline() { membership_.run_timers(context_.now()); }

void MembershipController::on_planner_view_due() {
    if (planner_view_changed_) complete_planner_view(context_.now());
}

void MembershipController::complete_planner_view(Nanos now) {
    planner_view_changed_ = false;
    planner_view_timer_.disarm();
    context_.planner->on_watch_event_done(now, false);
    // The planner treats on_watch_event_done() as a received endpoint update. While discovery fails, none was
    // received, and the planner must keep requesting one.
    if (discovery_failing_ && planner_started_) context_.planner->on_watch_failed(now);
    context_.rounds.schedule_round();
}

}  // namespace whinpost::server
