#include "platform/attempt_controller.h"

#include <string>
#include <utility>

namespace whinpost::platform {

using platform_codec::Message;
using platform_codec::MessageType;

namespace {

int current_attempt(const InFlightTask& task) { return static_cast<int>(task.record->attempts.size()) - 1; }

}  // namespace

AttemptController::AttemptController(const ServerContext& context, TaskTable& tasks, TaskLifecycle& lifecycle,
                                     const EndpointList& endpoints, const DiscoveryWatch& watch,
                                     WorkerPool& pool, ClientServer& clients, AdoptionController& adoptions,
                                     ReleaseController& releases)
    : context_(context), tasks_(tasks), lifecycle_(lifecycle), endpoints_(endpoints), watch_(watch),
      pool_(pool), clients_(clients), adoptions_(adoptions), releases_(releases) {}

// ---------------------------------------------------------------- planner decisions

void AttemptController::place(planner::TaskNumber number, planner::WorkerNumber to, Nanos timeout) {
    InFlightTask* task = tasks_.find(number);
    if (!task) return;
    PooledWorker& worker = pool_.at(to);
    const auto started = context_.ledger.start_attempt(context_.now(), *task->record,
                                                       *endpoints_.find(worker.name())->record, timeout);
    if (!started) {
        context_.log(log::Level::warning, "attempt_refused",
                     {{"task", task->name},
                      {"worker", worker.name()},
                      {"reason", ledger::to_string(started.error())}});
        return defer_not_sent(number);
    }
    task->reported_running = false;
    context_.timers.arm(task->attempt_timeout, (*started)->deadline);
    context_.log(log::Level::debug, "attempt_started",
                 {{"task", task->name},
                  {"id", task->id},
                  {"worker", worker.name()},
                  {"attempts", task->record->attempts.size()},
                  {"timeout_ms", timeout / kMillisecond}});
    if (worker.start_attempt(*task)) return;
    context_.rounds.defer([this, number] {
        InFlightTask* remaining = tasks_.find(number);
        if (!remaining || !remaining->record->in_flight) return;
        if (remaining->running || remaining->connection) return;
        lifecycle_.end_attempt(*remaining, AttemptOutcome::not_sent, OutcomeReason::unspecified, {}, false);
    });
}

// The ledger has no such attempt, so its end is reported to the planner only.
void AttemptController::defer_not_sent(planner::TaskNumber number) {
    context_.rounds.defer([this, number] {
        context_.planner().on_attempt_ended(context_.now(), number, 0, AttemptOutcome::not_sent,
                                            OutcomeReason::unspecified, false, {});
        context_.rounds.schedule();
    });
}

// While the client has no connection, nobody would request the task again, so it keeps running until the
// client is back.
void AttemptController::migrate(planner::TaskNumber number) {
    InFlightTask* task = tasks_.find(number);
    if (!task || !task->running) return;
    const bool put_off = !task->client && clients_.clients_at(task->client_address).empty();
    context_.log(log::Level::info, "task_migrating",
                 {{"task", task->name},
                  {"id", task->id},
                  {"worker", task->worker->name()},
                  {"client", task->client ? task->client->peer() : task->client_address},
                  {"own_connection", task->client != nullptr},
                  {"put_off", put_off}});
    if (put_off) pending_migrations_.insert(number);
    else migrate_now(*task);
}

void AttemptController::migrate_now(InFlightTask& task) {
    releases_.send_migration(task.id, task.name, {task.client_address, task.client});
    context_.rounds.defer([this, number = task.record->number] {
        InFlightTask* remaining = tasks_.find(number);
        if (remaining && remaining->running) cancel_running(*remaining);
    });
    context_.rounds.schedule();
}

// The reason for the migration may have passed meanwhile, so only tasks on draining workers are migrated.
void AttemptController::resume_migrations(const ClientConnection& client) {
    std::erase_if(pending_migrations_, [this, &client](planner::TaskNumber number) {
        const InFlightTask* task = tasks_.find(number);
        if (!task || !task->running) return true;
        if (task->client_address != client.client_address()) return false;
        if (task->worker->is_draining()) migrate(number);
        return true;
    });
}

void AttemptController::cancel_attempt(planner::TaskNumber number) {
    context_.rounds.defer([this, number] {
        InFlightTask* task = tasks_.find(number);
        if (!task || !task->record->in_flight || task->running) return;
        task->worker->abandon_attempt(*task);
        lifecycle_.end_attempt(*task, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, false);
    });
    context_.rounds.schedule();
}

void AttemptController::cancel_running(InFlightTask& task) {
    task.worker->remove_running(task, true);
    lifecycle_.end_attempt(task, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
}

// ---------------------------------------------------------------- worker events

bool AttemptController::may_send(InFlightTask& task) {
    return task.record->in_flight && !(task.client && task.client->may_have_disconnected()) &&
           context_.ledger.may_still_send(context_.now(), *task.record->in_flight);
}

void AttemptController::on_attempt_timeout(InFlightTask& task) {
    if (!task.record->in_flight || task.running) return;
    task.worker->abandon_attempt(task);
    lifecycle_.end_attempt(task, AttemptOutcome::timed_out, OutcomeReason::unspecified, {}, false);
}

void AttemptController::on_attempt_accepted(InFlightTask& task, std::string_view description) {
    const Nanos now = context_.now();
    ledger::TaskRecord& record = *task.record;
    if (!record.in_flight || !context_.ledger.on_accepted(now, *record.in_flight)) return;
    task.attempt_timeout.disarm();
    task.answer_deadline.disarm();
    lifecycle_.start_running(task, *task.worker);
    if (task.client) {
        task.client->remove_open_request();
        Message message;
        message.type = MessageType::answer;
        message.task = task.id;
        message.description = description;
        task.client->write(message);
    }
    task.description = std::string();
    task.queue_group = std::string();
    context_.planner().on_accepted(now, record.number, current_attempt(task));
    context_.rounds.schedule();
}

void AttemptController::on_attempt_ended(InFlightTask& task, AttemptOutcome outcome, OutcomeReason reason,
                                         const LoadReport& report) {
    if (!task.record->in_flight) return;
    // The attempt's time can run out between the decision and the write, within the planner's round.
    if (context_.rounds.in_round()) {
        context_.rounds.defer([this, number = task.record->number, outcome, reason, report] {
            InFlightTask* remaining = tasks_.find(number);
            if (remaining && !remaining->connection) on_attempt_ended(*remaining, outcome, reason, report);
        });
        return;
    }
    // The worker's answer can be late or lost although the task runs and ends. The platform requires that the
    // client receives that end, and the client then requests the task again. A task that is retried without
    // telling the client counts as lost.
    const bool may_have_ended = outcome == AttemptOutcome::reset || outcome == AttemptOutcome::completed ||
                                outcome == AttemptOutcome::cancelled;
    const bool ran_unanswered = task.reported_running && may_have_ended;
    if (ran_unanswered) {
        const planner::TaskNumber number = task.record->number;
        lifecycle_.send_answer(task, ledger::Answer::failed, 0);
        context_.planner().cancel(context_.now(), number);
    }
    lifecycle_.end_attempt(task, outcome, reason, report, ran_unanswered);
}

void AttemptController::on_task_ended(InFlightTask& task, AttemptOutcome outcome, OutcomeReason reason,
                                      platform_codec::Cause cause, const LoadReport& report) {
    if (outcome != AttemptOutcome::completed)
        context_.log(log::Level::info, "task_ended",
                     {{"task", task.name},
                      {"id", task.id},
                      {"worker", task.worker->name()},
                      {"cause", static_cast<int>(cause)},
                      {"connected", task.client != nullptr}});
    // Sent for cancelled tasks too. A task that this placer cancels is removed at once, so its client has not
    // cancelled this one here and waits for its end.
    lifecycle_.end_running(task, outcome, reason, cause, report);
}

void AttemptController::on_task_lost(InFlightTask& task, ledger::TaskLossReason reason) {
    ++context_.statistics.running_tasks_lost;
    context_.log(log::Level::info, "task_lost",
                 {{"task", task.name},
                  {"id", task.id},
                  {"worker", task.worker->name()},
                  {"reason", ledger::to_string(reason)}});
    const bool is_unconfirmed = reason == ledger::TaskLossReason::unconfirmed;
    const auto competing =
        is_unconfirmed ? adoptions_.take_competing(task) : std::vector<AdoptionController::CompetingReport>();
    on_task_ended(task, AttemptOutcome::reset, OutcomeReason::unspecified, platform_codec::Cause::reset, {});
    for (const AdoptionController::CompetingReport& other : competing)
        adoptions_.adopt(other.report, clients_.find(other.connection));
}

void AttemptController::on_task_confirmed(InFlightTask& task, Nanos after) {
    adoptions_.on_task_confirmed(task, after);
}

void AttemptController::on_task_metric(InFlightTask& task, std::string_view metric, double value) {
    const Nanos now = context_.now();
    planner::Planner& planner = context_.planner();
    const planner::TaskNumber number = task.record->number;
    const int attempt = current_attempt(task);
    task.reported_running = true;
    if (metric == "runs") {
        if (task.record->in_flight && context_.ledger.on_running(now, *task.record->in_flight))
            planner.on_running(now, number, attempt);
    } else if (metric == "cores") planner.on_cores_used(now, number, attempt, value);
    else if (metric == "memory") planner.on_memory_used(now, number, attempt, value);
    else if (metric == "served") planner.on_service_share(now, number, attempt, value);
    else if (metric == "pressure") planner.on_worker_memory(now, number, attempt, value);
    context_.rounds.schedule();
}

void AttemptController::on_load_report(PooledWorker& worker, const LoadReport& report) {
    context_.planner().on_load_report(context_.now(), worker.number(), report);
    context_.rounds.schedule();
}

}  // namespace whinpost::platform
