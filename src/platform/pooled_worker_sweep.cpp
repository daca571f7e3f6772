// The periodic sweep of PooledWorker: finds the connections that are alive and the running tasks that are in
// doubt or lost, and reconnects.
#include <algorithm>
#include <utility>

#include "platform/pooled_worker.h"

namespace whinpost::platform {
namespace {

// After this long without a message and without a connection, the tasks on the worker count as lost. The
// protocol allows 8 s. A shorter time would end tasks that survive a network partition of some seconds.
constexpr Nanos kLostAfter = 7500 * kMillisecond;
// After this many consecutive refused dials no process listens at the address. The worker's tasks are gone if
// none of its connections is open either.
constexpr int kRefusedDialsForLoss = 3;
// How long a worker that has left the endpoint list may still report the ends of its tasks.
constexpr Nanos kFinalReportTimeout = 1500 * kMillisecond;

}  // namespace

void PooledWorker::end_running_tasks(ledger::TaskLossReason reason) {
    if (running_.empty()) return;
    log_(log::Level::info, "worker_lost",
         {{"worker", name_}, {"reason", ledger::to_string(reason)}, {"running_tasks", running_.size()}});
    const auto all = running_;
    for (const auto& [id, task] : all)
        if (running_.contains(id)) handler_.on_task_lost(*task, reason);
}

// An interrupted task may still run. If it is idempotent it is cancelled, or else it would take up the worker
// beside its replacement. An unconfirmed task is not cancelled: its id may be that of another placer's task.
void PooledWorker::end_if_doubt_is_over(InFlightTask& task, Nanos now) {
    const ledger::TaskLiveness::Evidence evidence{
        handler_.is_endpoint_list_current(), last_message_at_ >= task.liveness.doubted_since(),
        handler_.is_client_trusted(task), handler_.confirmation_timeout(started_at_),
        task.client ? 0 : task.client_left_at};
    const auto verdict = task.liveness.check(now, evidence);
    if (verdict == ledger::TaskLiveness::Verdict::keep) return;
    const bool interrupted = verdict == ledger::TaskLiveness::Verdict::interrupted;
    const bool cancel = interrupted && task.record->queue_group->effect == Effect::idempotent;
    const ledger::CancelledTask cancelled{task.id, {}, false};
    handler_.on_task_lost(
        task, interrupted ? ledger::TaskLossReason::interrupted : ledger::TaskLossReason::unconfirmed);
    if (cancel) cancellations_.cancel(cancelled);
}

void PooledWorker::end_doubted_tasks(Nanos now) {
    std::vector<std::uint64_t> doubted;
    for (const auto& [id, task] : running_)
        if (task->liveness.in_doubt()) doubted.push_back(id);
    for (const std::uint64_t id : doubted)
        if (InFlightTask* task = find_running(id)) end_if_doubt_is_over(*task, now);
}

// Aborts only connections that nothing is expected on any more: the worker's last messages about running
// tasks may be on their way on the others. Workers close idle connections themselves, after all that they
// wrote.
PooledWorker::ConnectionSummary PooledWorker::sweep_connections(Nanos now) {
    ConnectionSummary summary;
    std::size_t accepted = 0;
    bool any_silent = false, any_silent_accepted = false;
    for (std::size_t i = 0; i < connections_.size();) {
        WorkerConnection& connection = *connections_[i];
        const Nanos last = std::max(connection.last_used_, connection.last_received_);
        const bool expired = !connection.has_work() && now - last > 2 * idle_timeout_;
        const bool unused = connection.is_mute_ && !connection.has_work() &&
                            running_tasks_sent_before(connection.last_received_).empty();
        const bool unneeded = unused || (is_gone() && running_.empty() && !connection.has_work());
        if (connection.is_up() && (expired || unneeded)) {
            connection.abort();
            continue;
        }
        const bool silent =
            connection.is_up() && ledger::WorkerReachability::is_silent(now, connection.last_received_);
        any_silent = any_silent || silent;
        accepted += connection.accepted_.size();
        const bool serves = connection.is_up() && !silent && !connection.has_failed_probe_;
        summary.alive = summary.alive || serves;
        summary.dialing = summary.dialing || !connection.is_up();
        summary.any_responsive = summary.any_responsive || connection.is_responsive();
        any_silent_accepted = any_silent_accepted || (silent && !connection.accepted_.empty());
        ++i;
    }
    // Running tasks whose attempt's connection is gone: their release may arrive on any connection.
    const bool any_unattached = accepted < running_.size();
    summary.waits_on_silent = any_silent_accepted || (any_unattached && any_silent);
    return summary;
}

std::vector<ledger::WorkerReachability::ConnectionState> PooledWorker::connection_states() const {
    std::vector<ledger::WorkerReachability::ConnectionState> states;
    for (const auto& connection : connections_)
        if (connection->is_up()) states.push_back(connection->state());
    return states;
}

// Guards against a worker that counts as alive only because a new connection came up: a reply there does not
// show that the process that ran its tasks still exists. So health checks are sent on the old connections if
// none of them has received anything for long. If one of them is mute, newer connections are checked too,
// since only a reply there shows that the machine can be reached.
void PooledWorker::check_connections(Nanos now) {
    if (!health_checks_ || (running_.empty() && cancellations_.empty())) return;
    if (!running_.empty() && ledger::WorkerReachability::needs_health_check(now, connection_states()))
        probe_old_connections(now);
    Nanos unanswered_since = 0;
    for (const auto& connection : connections_) {
        connection->check_mute();
        if (connection->is_mute_)
            unanswered_since = std::max(unanswered_since, connection->unanswered_probe_at_);
    }
    if (!unanswered_since) return;
    for (const auto& connection : connections_) {
        if (connection->is_mute_ && !connection->tasks_in_doubt_) doubt_tasks_on(*connection);
        if (!connection->is_mute_ && connection->answered_probe_at_ < unanswered_since) connection->probe();
    }
}

// Sends a health check on each old connection on which a running task was accepted; if there is none, on the
// old connection that received data last.
void PooledWorker::probe_old_connections(Nanos now) {
    WorkerConnection* latest_received = nullptr;
    bool any_probed = false;
    for (const auto& connection : connections_) {
        if (!ledger::WorkerReachability::is_old(now, connection->state())) continue;
        if (!latest_received || connection->last_received_ > latest_received->last_received_)
            latest_received = connection.get();
        if (connection->accepted_.empty()) continue;
        connection->probe();
        any_probed = true;
    }
    if (!any_probed && latest_received) latest_received->probe();
}

void PooledWorker::doubt_tasks_on(WorkerConnection& mute) {
    const std::optional<Nanos> since =
        ledger::WorkerReachability::may_be_replaced_since(mute.state(), connection_states());
    if (!since) return;
    mute.tasks_in_doubt_ = true;
    const std::vector<InFlightTask*> tasks = running_tasks_sent_before(*since);
    log_(log::Level::info, "worker_may_be_replaced",
         {{"worker", name_}, {"tasks", tasks.size()}, {"silent_ms", (loop_.now() - *since) / kMillisecond}});
    for (InFlightTask* task : tasks) task->liveness.on_may_be_replaced(*since);
}

// A mute connection has received data again, so the process at its other end still runs.
void PooledWorker::on_connection_recovered(WorkerConnection& recovered) {
    if (!std::exchange(recovered.tasks_in_doubt_, false)) return;
    for (InFlightTask* task : running_tasks_sent_before(loop_.now()))
        task->liveness.on_process_confirmed(recovered.up_since_);
}

// The running tasks that were sent up to `moment`, except those accepted on a connection that was opened
// later.
std::vector<InFlightTask*> PooledWorker::running_tasks_sent_before(Nanos moment) const {
    std::vector<InFlightTask*> tasks;
    for (const auto& [id, task] : running_) {
        if (!task->record->in_flight || task->record->in_flight->sent_at > moment) continue;
        const bool is_newer =
            std::any_of(connections_.begin(), connections_.end(), [&, task_id = id](const auto& connection) {
                return connection->up_since_ > moment && connection->accepted_.contains(task_id);
            });
        if (!is_newer) tasks.push_back(task);
    }
    return tasks;
}

// A worker that refuses further connections may still serve those that are open. A health check on them shows
// whether it does: it is not answered if the process is gone, and fails if the worker has ended its tasks and
// is leaving.
bool PooledWorker::end_lost_tasks(Nanos now, bool any_responsive) {
    const bool refused = refused_dials_ >= kRefusedDialsForLoss && !any_responsive;
    const bool left = is_gone() && now - gone_at_ > kFinalReportTimeout;
    const bool silent = now - last_received_ > kLostAfter;
    if (refused) end_running_tasks(ledger::TaskLossReason::worker_refused);
    else if (left) end_running_tasks(ledger::TaskLossReason::worker_left);
    else if (silent) end_running_tasks(ledger::TaskLossReason::worker_silent);
    return refused || left || silent;
}

void PooledWorker::dial_for_lost_messages(Nanos now, bool alive) {
    if (now < next_dial_at_ || is_gone()) return;  // another worker may have the address now
    WorkerConnection* connection = dial();
    if (connection) connection->opened_for_lost_messages_ = true;
    // This process had no free descriptor, which is no evidence of a silent worker.
    else if (!alive) last_received_ = now;
    next_dial_at_ = now + kDialBackoff;
}

// Guards against an ever growing number of connections to a worker whose tasks send nothing for long. The
// worker repeats on the next connection what it sent while this one was closed.
void PooledWorker::close_superseded_connections(const WorkerConnection& latest) {
    std::vector<WorkerConnection*> earlier;
    for (const auto& connection : connections_) {
        const bool is_earlier = connection->opened_for_lost_messages_ && connection.get() != &latest;
        if (is_earlier && connection->is_empty() && connection->accepted_.empty() && !connection->is_mute_)
            earlier.push_back(connection.get());
    }
    for (WorkerConnection* connection : earlier) connection->close();
}

void PooledWorker::sweep(Nanos now) {
    closed_.clear();
    check_connections(now);
    const ConnectionSummary summary = sweep_connections(now);
    forget_expired(now);
    end_doubted_tasks(now);
    // The worker has left, or no process listens at its address, so no cancellation can be sent.
    const bool refused = refused_dials_ >= kRefusedDialsForLoss && !summary.any_responsive;
    if (is_gone() || refused) cancellations_.on_worker_lost();
    const bool is_unconfirmed = cancellations_.sweep(now, kLostAfter);
    if (!summary.alive && refused_dials_ > 0 && health_checks_)
        for (const auto& connection : connections_) connection->probe();
    if (summary.dialing || (running_.empty() && cancellations_.empty())) return;
    const bool alive = summary.alive && !refused;
    if (!alive && end_lost_tasks(now, summary.any_responsive)) return;
    if (!alive || is_unconfirmed || reachability_.needs_connection(now, summary.waits_on_silent))
        dial_for_lost_messages(now, alive);
}

}  // namespace whinpost::platform
