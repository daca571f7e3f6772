#include "server/attempt_controller.h"

#include <cmath>

#include "server/outcome_text.h"
#include "server/request_check.h"
#include "server/worker_endpoint.h"

namespace whinpost::server {

namespace {
using log::Level;

constexpr const char* kUnknownTask = "no such task";

OutcomeReason outcome_reason(v1::Reason reason) {
    return reason >= 0 && reason <= 7 ? static_cast<OutcomeReason>(reason) : OutcomeReason::unspecified;
}

// A REJECTED outcome after AttemptAccepted counts as a reset: the client was already sent TaskPlaced.
AttemptOutcome attempt_outcome(const ledger::Attempt& attempt, const v1::AttemptEnded& message) {
    switch (message.outcome()) {
        case v1::AttemptEnded::COMPLETED:
            return AttemptOutcome::completed;
        case v1::AttemptEnded::FAILED:
            return AttemptOutcome::failed;
        case v1::AttemptEnded::REJECTED:
            return attempt.accepted ? AttemptOutcome::reset : AttemptOutcome::rejected;
        case v1::AttemptEnded::RESET:
            return AttemptOutcome::reset;
        case v1::AttemptEnded::CANCELLED:
            return AttemptOutcome::cancelled;
        default:
            return AttemptOutcome::unknown;
    }
}

// The planner's index of the task's latest attempt.
int latest_attempt_index(const InFlightTask& task) { return task.attempts_decided - 1; }
}  // namespace

AttemptController::AttemptController(ServerContext& context, TaskTable& tasks, TaskAnswers& answers,
                                     WorkerEndpoint& workers, membership::Membership& membership,
                                     slow_start::TokenClient& tokens)
    : context_(context), tasks_(tasks), answers_(answers), workers_(workers), membership_(membership),
      tokens_(tokens) {}

void AttemptController::place(planner::TaskNumber number, planner::WorkerNumber to, Nanos time_out) {
    const Nanos now = context_.now();
    InFlightTask* task = tasks_.find(number);
    if (!task) return context_.report_planner_fault("place", number, kUnknownTask);
    const int index = task->attempts_decided++;
    if (to >= workers_.size()) return refuse_placement(number, index, "no such worker");
    WorkerPeer& peer = workers_.at(to);
    const auto started = context_.ledger.start_attempt(now, *task->record, peer.record, time_out);
    if (!started) return refuse_placement(number, index, ledger::to_string(started.error()));
    ledger::Attempt& attempt = **started;
    context_.rounds.on_attempt_started();
    ++unaccepted_;
    tokens_.use_token(now, peer.warming);
    tasks_.add_attempt(attempt);
    context_.timers.arm(task->attempt_deadline, attempt.deadline);
    if (context_.log.enabled(Level::debug))
        context_.log(
            Level::debug, "attempt_started",
            {{"task", task->record->key}, {"attempt", attempt.number}, {"worker", attempt.worker->name}});
    peer.connection.send(now, attempt);
}

// The planner counts the attempt as in flight, so it is notified with the outcome not_sent. Deferred, since
// the planner is calling.
void AttemptController::refuse_placement(planner::TaskNumber number, int attempt_index,
                                         std::string_view reason) {
    context_.report_planner_fault("place", number, reason);
    context_.rounds.defer([this, number, attempt_index] {
        const InFlightTask* task = tasks_.find(number);
        const bool answered = !task || task->record->answer != ledger::Answer::none;
        context_.planner->on_attempt_ended(context_.now(), number, attempt_index, AttemptOutcome::not_sent,
                                           OutcomeReason::unspecified, answered, {});
    });
}

void AttemptController::migrate(planner::TaskNumber number) {
    InFlightTask* task = tasks_.find(number);
    if (!task || !task->record->accepted_attempt)
        return context_.report_planner_fault("migrate", number, "no worker has accepted the task");
    task->is_migrating = true;
    const ledger::Attempt& attempt = *task->record->accepted_attempt;
    send_cancellation(attempt);
    context_.log(Level::info, "task_migrating",
                 {{"task", task->record->key}, {"worker", attempt.worker->name}});
}

void AttemptController::cancel_attempt(planner::TaskNumber number) {
    const InFlightTask* task = tasks_.find(number);
    if (!task || !task->record->in_flight || task->record->accepted_attempt) return;
    context_.rounds.defer([this, attempt_number = task->record->in_flight->number] {
        ledger::Attempt* attempt = tasks_.find_attempt(attempt_number);
        if (!attempt || attempt->ended || attempt->accepted) return;
        const bool unsent = workers_.find(attempt->worker->name)->connection.withdraw(*attempt);
        end_attempt(*attempt, unsent ? AttemptOutcome::not_sent : AttemptOutcome::cancelled,
                    OutcomeReason::unspecified, {});
    });
}

void AttemptController::on_accepted(ledger::Attempt& attempt) {
    const Nanos now = context_.now();
    if (attempt.accepted && !attempt.ended) return;  // a repeated message
    const planner::TaskNumber number = attempt.task->number;
    InFlightTask& task = *tasks_.find(number);
    if (!context_.ledger.on_accepted(now, attempt)) return on_late_accept(task, attempt);
    --unaccepted_;
    task.answer_deadline.disarm();
    task.attempt_deadline.disarm();
    answers_.stop_counting_as_waiting(task);
    answers_.send_placed(task, attempt);
    context_.planner->on_accepted(now, number, latest_attempt_index(task));
    context_.rounds.schedule_round();
}

// AttemptAccepted has arrived after the attempt's end. The copy is cancelled if the task is idempotent, was
// cancelled by its client, or was accepted elsewhere. Otherwise the task must not run twice and this may be
// its only copy: its client is sent TaskFound with the worker as soon as it has been sent TaskFailed.
void AttemptController::on_late_accept(InFlightTask& task, ledger::Attempt& attempt) {
    const bool may_cancel = attempt.task->queue_group->effect == Effect::idempotent || task.is_cancelled ||
                            attempt.task->accepted_attempt;
    if (may_cancel) return send_cancellation(attempt);
    task.late_attempt = &attempt;
    if (attempt.task->answer == ledger::Answer::failed) answers_.send_late_attempt(task);
}

void AttemptController::on_running(ledger::Attempt& attempt) {
    const Nanos now = context_.now();
    if (!context_.ledger.on_running(now, attempt)) return;
    InFlightTask& task = *tasks_.find(attempt.task->number);
    answers_.send_running(task);
    context_.planner->on_running(now, attempt.task->number, latest_attempt_index(task));
    context_.rounds.schedule_round();
}

void AttemptController::on_ended(ledger::Attempt& attempt, const v1::AttemptEnded& message) {
    const AttemptOutcome outcome = attempt_outcome(attempt, message);
    const LoadReport report = load_report(message.report());
    membership_.on_load_report(context_.now(), workers_.find(attempt.worker->name)->entry, report);
    end_attempt(attempt, outcome, outcome_reason(message.reason()), report);
}

void AttemptController::on_usage(ledger::Attempt& attempt, const v1::UsageReport& usage) {
    if (attempt.ended || !std::isfinite(usage.value())) return;
    const Nanos now = context_.now();
    const planner::TaskNumber number = attempt.task->number;
    const int index = latest_attempt_index(*tasks_.find(number));
    switch (usage.kind()) {
        case v1::UsageReport::CORES:
            context_.planner->on_cores_used(now, number, index, usage.value());
            break;
        case v1::UsageReport::MEMORY:
            context_.planner->on_memory_used(now, number, index, usage.value());
            break;
        case v1::UsageReport::SERVICE_SHARE:
            context_.planner->on_service_share(now, number, index, usage.value());
            break;
        case v1::UsageReport::WORKER_MEMORY:
            context_.planner->on_worker_memory(now, number, index, usage.value());
            break;
        default:
            return;
    }
    context_.rounds.schedule_round();
}

void AttemptController::end_attempt(ledger::Attempt& attempt, AttemptOutcome outcome, OutcomeReason reason,
                                    const LoadReport& report) {
    const Nanos now = context_.now();
    const ledger::TaskRecord& record = *attempt.task;
    InFlightTask& task = *tasks_.find(record.number);
    if (!context_.ledger.on_ended(now, attempt, outcome)) {
        // The ledger has already recorded the attempt's end; a copy that was accepted late has now ended.
        if (task.late_attempt == &attempt) task.late_attempt = nullptr;
        return;
    }
    release_at_worker(attempt, outcome);
    task.attempt_deadline.disarm();
    if (!attempt.accepted) {
        --unaccepted_;
        const std::string_view text =
            outcome == AttemptOutcome::rejected ? to_string(reason) : to_string(outcome);
        task.last_failure = attempt.worker->name + ": " + std::string(text);
    }
    if (context_.log.enabled(Level::debug))
        context_.log(Level::debug, "attempt_ended",
                     {{"task", record.key},
                      {"attempt", attempt.number},
                      {"worker", attempt.worker->name},
                      {"outcome", to_string(outcome)},
                      {"reason", to_string(reason)}});
    if (attempt.accepted) answers_.send_ended(task, outcome, reason);
    context_.planner->on_attempt_ended(now, record.number, latest_attempt_index(task), outcome, reason,
                                       record.answer != ledger::Answer::none, report);
    answers_.retire_if_closed(task);
    context_.rounds.schedule_round();
}

// Removes the attempt from the worker's connection. If it was given up but the worker may still hold it,
// sends CancelAttempt so that no unused copy occupies the worker. An attempt of a task that must not run
// twice is not cancelled: its client decides.
void AttemptController::release_at_worker(ledger::Attempt& attempt, AttemptOutcome outcome) {
    WorkerPeer* peer = workers_.find(attempt.worker->name);
    if (!peer) return;
    const bool given_up = outcome == AttemptOutcome::timed_out || outcome == AttemptOutcome::cancelled;
    peer->connection.on_attempt_ended(attempt, !given_up);
    if (outcome == AttemptOutcome::not_sent) tokens_.on_attempt_not_sent(peer->warming);
    if (given_up && attempt.task->queue_group->effect == Effect::idempotent && !attempt.accepted)
        send_cancellation(attempt);
}

void AttemptController::defer_end(std::uint64_t attempt_number, AttemptOutcome outcome) {
    context_.rounds.defer([this, attempt_number, outcome] {
        if (ledger::Attempt* attempt = tasks_.find_attempt(attempt_number))
            end_attempt(*attempt, outcome, OutcomeReason::unspecified, {});
    });
}

void AttemptController::end_earlier_attempts(WorkerPeer& peer, std::string_view task_key) {
    for (ledger::Attempt* earlier : peer.connection.running_attempts_of(task_key))
        end_attempt(*earlier, AttemptOutcome::reset, OutcomeReason::unspecified, {});
}

void AttemptController::on_deadline(InFlightTask& task) {
    ledger::Attempt* attempt = task.record->in_flight;
    if (!attempt || attempt->accepted) return;
    const bool unsent = workers_.find(attempt->worker->name)->connection.withdraw(*attempt);
    end_attempt(*attempt, unsent ? AttemptOutcome::not_sent : AttemptOutcome::timed_out,
                OutcomeReason::unspecified, {});
}

void AttemptController::cancel_in_flight(InFlightTask& task) {
    ledger::Attempt* attempt = task.record->in_flight;
    if (!attempt) return;
    const bool unsent = workers_.find(attempt->worker->name)->connection.withdraw(*attempt);
    if (unsent) end_attempt(*attempt, AttemptOutcome::not_sent, OutcomeReason::unspecified, {});
    else send_cancellation(*attempt);
}

void AttemptController::resend_cancellations(WorkerPeer& peer) {
    for (const ledger::Attempt* attempt : peer.connection.attempts_in_order()) {
        const InFlightTask* task = tasks_.find(attempt->task->number);
        if (task && (task->is_cancelled || task->is_migrating) && !attempt->ended)
            send_cancellation(*attempt);
    }
}

void AttemptController::send_cancellation(const ledger::Attempt& attempt) {
    v1::ToWorker message;
    message.mutable_cancel_attempt()->set_attempt(attempt.number);
    workers_.find(attempt.worker->name)->send(message);
    ++context_.statistics.cancellations_sent;
}

}  // namespace whinpost::server
