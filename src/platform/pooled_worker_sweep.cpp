// PooledWorker's sweep: which connections live, which running tasks are in doubt or lost, and when to connect
// anew.
#include <algorithm>
#include <utility>

#include "platform/pooled_worker.h"

namespace whinpost::platform {
namespace {

// So long without a message and without a connection, and what ran there is over. PROTOCOL leaves 8 s. Less
// than a network partition of some seconds would end tasks that run on behind it.
constexpr Nanos kLost = 7500 * kMillisecond;
// Dials refused in a row: no process listens there, and its tasks died with it.
constexpr int kRefusedForGood = 3;
// In which a worker that has left may still report its tasks' ends.
constexpr Nanos kLastReports = 1500 * kMillisecond;

}  // namespace

void PooledWorker::end_running_tasks(ledger::TaskLossReason reason) {
    if (running_.empty()) return;
    log_(log::Level::info, "worker_lost",
         {{"worker", name_}, {"reason", ledger::to_string(reason)}, {"running_tasks", running_.size()}});
    const auto all = running_;
    for (const auto& [id, task] : all)
        if (running_.contains(id)) handler_.on_task_lost(*task, reason);
}

// A task that ran once may run on: where a repeat does no harm it is cancelled, or else a copy would fill the
// worker. One that was only reported is left alone: its id may be that of another placer's task.
void PooledWorker::end_if_doubt_is_over(InFlightTask& task, Nanos now) {
    const ledger::TaskLiveness::Evidence evidence{handler_.is_endpoint_list_current(),
                                                  last_message_at_ >= task.liveness.doubted_since(),
                                                  handler_.is_client_trusted(task)};
    const auto verdict = task.liveness.check(now, evidence);
    if (verdict == ledger::TaskLiveness::Verdict::keep) return;
    const bool interrupted = verdict == ledger::TaskLiveness::Verdict::interrupted;
    const bool cancel = interrupted && task.record->queue_group->effect == Effect::idempotent;
    const std::uint64_t id = task.id;
    handler_.on_task_lost(
        task, interrupted ? ledger::TaskLossReason::interrupted : ledger::TaskLossReason::unconfirmed);
    if (cancel) cancel_task(id);
}

void PooledWorker::end_doubted_tasks(Nanos now) {
    std::vector<std::uint64_t> doubted;
    for (const auto& [id, task] : running_)
        if (task->liveness.in_doubt()) doubted.push_back(id);
    for (const std::uint64_t id : doubted)
        if (InFlightTask* task = find_running(id)) end_if_doubt_is_over(*task, now);
}

// A live connection is never closed from here: the worker's last messages on what runs could be on their way.
// It closes idle ones itself, with all that it wrote before.
PooledWorker::ConnectionSummary PooledWorker::sweep_connections(Nanos now) {
    ConnectionSummary summary;
    std::size_t accepted = 0;
    bool any_silent = false, any_silent_accepted = false;
    for (std::size_t i = 0; i < connections_.size();) {
        WorkerConnection& connection = *connections_[i];
        const Nanos last = std::max(connection.last_used_, connection.last_received_);
        const bool forgotten = !connection.has_work() && now - last > 2 * idle_timeout_;
        const bool unused = connection.is_mute_ && !connection.has_work() &&
                            tasks_spoken_of_before(connection.last_received_).empty();
        const bool useless = unused || (is_gone() && running_.empty() && !connection.has_work());
        if (connection.is_up() && (forgotten || useless)) {
            connection.abort();
            continue;
        }
        const bool silent =
            connection.is_up() && ledger::WorkerReachability::is_silent(now, connection.last_received_);
        any_silent = any_silent || silent;
        accepted += connection.accepted_.size();
        summary.alive = summary.alive || (connection.is_up() && !silent);
        summary.dialing = summary.dialing || !connection.is_up();
        any_silent_accepted = any_silent_accepted || (silent && !connection.accepted_.empty());
        ++i;
    }
    // Tasks whose attempt's connection is gone: their end may be said on any.
    const bool any_unattached = accepted < running_.size();
    summary.waits_on_silent = any_silent_accepted || (any_unattached && any_silent);
    return summary;
}

void PooledWorker::drop_pending_cancels() {
    if (pending_cancels_.empty()) return;
    log_(log::Level::info, "cancellations_dropped", {{"worker", name_}, {"tasks", pending_cancels_.size()}});
    pending_cancels_.clear();
}

std::vector<ledger::WorkerReachability::ConnectionState> PooledWorker::connection_states() const {
    std::vector<ledger::WorkerReachability::ConnectionState> states;
    for (const auto& connection : connections_)
        if (connection->is_up()) states.push_back(connection->state());
    return states;
}

// Guards against a worker that is taken for alive because a new connection came up: that it answers there is
// no sign of the process that ran its tasks. So where nothing was heard for long on the connections that are
// as old as the tasks, these are asked; and a newer one beside a mute one, since only an answer there shows
// that the machine is back.
void PooledWorker::check_connections(Nanos now) {
    if (!health_checks_ || running_.empty()) return;
    if (ledger::WorkerReachability::is_process_in_question(now, connection_states()))
        ask_old_connections(now);
    Nanos unanswered_since = 0;
    for (const auto& connection : connections_) {
        connection->check_mute();
        if (connection->is_mute_) unanswered_since = std::max(unanswered_since, connection->asked_at_);
    }
    if (!unanswered_since) return;
    for (const auto& connection : connections_) {
        if (connection->is_mute_ && !connection->is_doubted_) doubt_tasks_on(*connection);
        if (!connection->is_mute_ && connection->answered_ask_ < unanswered_since) connection->ask_for_life();
    }
}

// Those on which a task was accepted; where there is none, the one that was heard last.
void PooledWorker::ask_old_connections(Nanos now) {
    WorkerConnection* heard_last = nullptr;
    bool any_asked = false;
    for (const auto& connection : connections_) {
        if (!ledger::WorkerReachability::is_old(now, connection->state())) continue;
        if (!heard_last || connection->last_received_ > heard_last->last_received_)
            heard_last = connection.get();
        if (connection->accepted_.empty()) continue;
        connection->ask_for_life();
        any_asked = true;
    }
    if (!any_asked && heard_last) heard_last->ask_for_life();
}

void PooledWorker::doubt_tasks_on(WorkerConnection& mute) {
    const std::optional<Nanos> since =
        ledger::WorkerReachability::may_be_replaced_since(mute.state(), connection_states());
    if (!since) return;
    mute.is_doubted_ = true;
    const std::vector<InFlightTask*> tasks = tasks_spoken_of_before(*since);
    log_(log::Level::info, "worker_may_be_replaced",
         {{"worker", name_}, {"tasks", tasks.size()}, {"silent_ms", (loop_.now() - *since) / kMillisecond}});
    for (InFlightTask* task : tasks) task->liveness.on_silenced(*since);
}

// The process that spoke there before is there still.
void PooledWorker::on_connection_heard(WorkerConnection& heard) {
    if (!std::exchange(heard.is_doubted_, false)) return;
    for (InFlightTask* task : tasks_spoken_of_before(loop_.now()))
        task->liveness.on_process_confirmed(heard.up_since_);
}

// But for those that were accepted on a connection which was opened later.
std::vector<InFlightTask*> PooledWorker::tasks_spoken_of_before(Nanos moment) const {
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

bool PooledWorker::end_lost_tasks(Nanos now) {
    const bool refused = refused_dials_ >= kRefusedForGood;
    const bool left = is_gone() && now - gone_at_ > kLastReports;
    const bool silent = now - last_received_ > kLost;
    if (refused) end_running_tasks(ledger::TaskLossReason::worker_refused);
    else if (left) end_running_tasks(ledger::TaskLossReason::worker_left);
    else if (silent) end_running_tasks(ledger::TaskLossReason::worker_silent);
    return refused || left || silent;
}

void PooledWorker::dial_for_word(Nanos now, bool alive) {
    if (now < next_dial_at_ || is_gone()) return;  // a new worker may have the address of one that left
    WorkerConnection* connection = dial();
    if (connection) connection->opened_for_word_ = true;
    // A descriptor that this process lacks says nothing about the worker.
    else if (!alive) last_received_ = now;
    next_dial_at_ = now + kDialBackoff;
}

// Guards against a pile of connections to a worker whose tasks are quiet. What crosses the close is said
// again on the next one.
void PooledWorker::close_earlier_for_word(const WorkerConnection& latest) {
    std::vector<WorkerConnection*> earlier;
    for (const auto& connection : connections_) {
        const bool is_earlier = connection->opened_for_word_ && connection.get() != &latest;
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
    // Nobody is there for them any more.
    if (is_gone() || refused_dials_ >= kRefusedForGood || now - last_received_ > kLost)
        drop_pending_cancels();
    if (summary.dialing || (running_.empty() && pending_cancels_.empty())) return;
    if (!summary.alive && end_lost_tasks(now)) return;
    if (!summary.alive || reachability_.needs_connection(now, summary.waits_on_silent))
        dial_for_word(now, summary.alive);
}

}  // namespace whinpost::platform
