#include "platform/adoption_controller.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/pooled_worker.h"
#include "whinpost/stable_hash.h"

namespace whinpost::platform {
namespace {

// Per task. Reports of one id by two clients cross only briefly after a start; misbehaving clients may send
// many.
constexpr std::size_t kMaxOtherReporters = 4;
// Over all clients. A sweep searches these reports for each connection that has nothing else to wait for.
constexpr std::size_t kMaxRepeatedReports = 256;
// A worker that sends a message when a task is reported does so within this time, connections that come up
// late included. One that only reports changes of usage seldom does.
constexpr Nanos kPromptConfirmation = kSecond;

}  // namespace

bool AdoptionController::adopt(const RunningTaskReport& report, ClientConnection* client) {
    const PlacementRequest& request = report.request;
    if (InFlightTask* known = tasks_.find_by_id(report.id)) {
        report_known(*known, report, client);
        return true;
    }
    if (client && releases_.on_task_reported(report.id, request.task_name, *client)) return true;
    const EndpointList::Endpoint* endpoint = endpoints_.find(request.running_on);
    if (!endpoint) return false;
    PooledWorker& worker = *endpoint->worker;
    const InFlightTask* earlier = tasks_.find_running(request.task_name);
    const Nanos now = context_.now();
    const std::uint64_t service = stable_hash(request.service);
    ledger::TaskRecord& record =
        context_.ledger.adopt_task(now, request.task_name, service, request.resources, *endpoint->record);
    InFlightTask& task = tasks_.create(report.id, record, client, report.client_address);
    task.name = request.task_name;
    task.liveness.on_reported(report.waiting_since);
    task.supersedes = earlier ? earlier->id : 0;
    context_.planner().adopt(now, record.number, service, request.resources, worker.number());
    lifecycle_.start_running(task, worker);
    ++context_.statistics.tasks_adopted;
    const std::optional<platform_codec::Cause> cause = worker.recent_end_of(report.id);
    if (cause || worker.has_mentioned(report.id)) worker.on_task_message(task);
    context_.log(log::Level::info, "task_adopted",
                 {{"task", request.task_name},
                  {"id", report.id},
                  {"worker", request.running_on},
                  {"client", report.client_address},
                  {"connected", client != nullptr},
                  {"confirmed", task.liveness.is_confirmed()},
                  {"ended", cause.has_value()}});
    if (cause) {
        const bool completed = *cause == platform_codec::Cause::ok;
        lifecycle_.end_running(task, completed ? AttemptOutcome::completed : AttemptOutcome::reset,
                               OutcomeReason::unspecified, *cause, {});
    }
    context_.rounds.schedule();
    return true;
}

// A report that differs only in its connection comes from the same client, whose earlier connection may be
// dead without this side knowing, or from another client at its address. A report that differs in anything
// else comes from another client. The task stays with its current connection unless is_likelier_owner().
void AdoptionController::report_known(InFlightTask& task, const RunningTaskReport& report,
                                      ClientConnection* client) {
    const bool is_same = task.running && task.client_address == report.client_address &&
                         task.name == report.request.task_name &&
                         task.worker->name() == report.request.running_on;
    context_.log(log::Level::info, "task_already_known",
                 {{"task", report.request.task_name},
                  {"known_task", task.name},
                  {"id", report.id},
                  {"client", client ? client->peer() : report.client_address},
                  {"own_connection", client && client == task.client},
                  {"same_report", is_same}});
    if (is_same && client && !task.client) return lifecycle_.move_to_connection(task, *client);
    const bool is_adopted = task.running && task.record->in_flight->adopted;
    const bool is_first = client && client == task.client;
    if (is_first || (!is_same && !is_adopted)) return;
    add_reporter(task, report, client);
    const bool is_other_task = task.name != report.request.task_name ||
                               (task.worker && task.worker->name() != report.request.running_on);
    if (is_other_task && client && !task.liveness.is_confirmed()) remember_competing(report, *client);
    if (is_adopted && client && is_likelier_owner(*client, task)) swap_owner(task, *client);
    else if (is_same && client) remember_repeated(task, *client);
}

void AdoptionController::remember_competing(const RunningTaskReport& report, const ClientConnection& client) {
    const bool is_known =
        std::any_of(competing_reports_.begin(), competing_reports_.end(), [&](const CompetingReport& other) {
            return other.connection == client.number() && other.report.id == report.id;
        });
    if (!is_known && competing_reports_.size() < kMaxRepeatedReports)
        competing_reports_.push_back({report, client.number()});
}

// The time of each report counts, so that a client whose task is not confirmed either does not wait twice.
std::vector<AdoptionController::CompetingReport> AdoptionController::take_competing(InFlightTask& task) {
    std::vector<CompetingReport> taken;
    std::erase_if(competing_reports_, [&](const CompetingReport& competing) {
        if (competing.report.id != task.id) return false;
        taken.push_back(competing);
        return true;
    });
    std::erase_if(task.other_reporters, [&taken](const InFlightTask::OtherReporter& other) {
        return std::any_of(taken.begin(), taken.end(), [&other](const CompetingReport& competing) {
            return competing.connection == other.connection;
        });
    });
    return taken;
}

void AdoptionController::remember_repeated(const InFlightTask& task, const ClientConnection& client) {
    const bool is_known =
        std::any_of(repeated_reports_.begin(), repeated_reports_.end(), [&](const RepeatedReport& report) {
            return report.connection == client.number() && report.task == task.id;
        });
    if (!is_known && repeated_reports_.size() < kMaxRepeatedReports)
        repeated_reports_.push_back({task.id, client.number(), context_.now()});
}

// Whether the reporting client is likelier to own the task than its current one: the former has other tasks
// that their workers confirmed, and the latter has none. A current client without a connection keeps the
// task, since it may be reconnecting.
bool AdoptionController::is_likelier_owner(const ClientConnection& client, const InFlightTask& task) {
    if (!task.client) return false;
    const int confirmed_by_this_task = task.liveness.is_confirmed() ? 1 : 0;
    return client.confirmed_tasks() > 0 && task.client->confirmed_tasks() <= confirmed_by_this_task;
}

// The end of the task is sent to both clients; the new client's connection becomes the task's own.
void AdoptionController::swap_owner(InFlightTask& task, ClientConnection& client) {
    std::erase_if(task.other_reporters,
                  [&client](const auto& other) { return other.connection == client.number(); });
    if (task.client && task.other_reporters.size() < kMaxOtherReporters)
        task.other_reporters.push_back({task.client_address, task.client->number(), context_.now()});
    task.client_address = client.client_address();
    lifecycle_.move_to_connection(task, client);
}

// The new reporter is sent the end of the task too: just after a start, the first report may have come from
// another client.
void AdoptionController::add_reporter(InFlightTask& task, const RunningTaskReport& report,
                                      const ClientConnection* client) {
    const ledger::ConnectionNumber connection = client ? client->number() : ledger::kNoConnection;
    std::vector<InFlightTask::OtherReporter>& others = task.other_reporters;
    const bool is_known = std::any_of(others.begin(), others.end(), [connection](const auto& other) {
        return other.connection == connection;
    });
    if (!is_known && others.size() < kMaxOtherReporters)
        others.push_back({report.client_address, connection, context_.now()});
}

// If anything was received on the task's own connection after the report, that connection is alive. The
// report then came from another client, or from one that receives the end on its first connection as well.
bool AdoptionController::may_have_moved(const RepeatedReport& report) const {
    const InFlightTask* task = tasks_.find_by_id(report.task);
    return task && task->client && task->client->last_received_at() <= report.reported_at;
}

bool AdoptionController::may_wait_on(const ClientConnection& client) const {
    const Nanos now = context_.now();
    const bool is_competing = std::any_of(competing_reports_.begin(), competing_reports_.end(),
                                          [&client, now](const CompetingReport& competing) {
                                              return competing.connection == client.number() &&
                                                     now - competing.report.waiting_since <=
                                                         ledger::TaskLiveness::kConfirmationTimeout;
                                          });
    return is_competing ||
           std::any_of(repeated_reports_.begin(), repeated_reports_.end(),
                       [this, &client](const RepeatedReport& report) {
                           return report.connection == client.number() && may_have_moved(report);
                       });
}

void AdoptionController::on_client_left(const ClientConnection& client) {
    std::erase_if(repeated_reports_,
                  [&client](const RepeatedReport& report) { return report.connection == client.number(); });
    std::erase_if(competing_reports_, [&client](const CompetingReport& competing) {
        return competing.connection == client.number();
    });
}

void AdoptionController::on_report_dropped(const RunningTaskReport& report, ClientConnection* client) {
    ++context_.statistics.reports_dropped;
    context_.log(log::Level::warning, "task_report_dropped",
                 {{"task", report.request.task_name},
                  {"id", report.id},
                  {"worker", report.request.running_on},
                  {"client", report.client_address},
                  {"waited_ms", (context_.now() - report.waiting_since) / kMillisecond}});
    releases_.send_release(report.id, report.request.task_name, platform_codec::Cause::reset,
                           {report.client_address, client});
}

// Where no worker has to send messages about running tasks, its silence shows nothing. Where they report
// usage, a worker may have nothing to report for many seconds, unless it sends a message when a task is
// reported, which is learned from the reports that were confirmed. A worker that started lately may have lost
// the task.
Nanos AdoptionController::confirmation_timeout(Nanos worker_started_at) const {
    if (!workers_report_tasks_) return ledger::TaskLiveness::kNoTimeout;
    const bool started_lately =
        worker_started_at != 0 && context_.now() - worker_started_at < ledger::TaskLiveness::kUsageTimeout;
    return started_lately || workers_confirm_reports() ? ledger::TaskLiveness::kConfirmationTimeout
                                                       : ledger::TaskLiveness::kUsageTimeout;
}

void AdoptionController::on_task_confirmed(InFlightTask& task, Nanos after) {
    std::erase_if(competing_reports_,
                  [&task](const CompetingReport& competing) { return competing.report.id == task.id; });
    ++(after <= kPromptConfirmation ? prompt_confirmations_ : late_confirmations_);
    if (task.client && task.counted_for_client) task.client->confirm_running_task();
    context_.log(log::Level::debug, "task_confirmed",
                 {{"task", task.name}, {"id", task.id}, {"worker", task.worker->name()}});
    InFlightTask* earlier = tasks_.find_by_id(std::exchange(task.supersedes, 0));
    if (earlier && earlier->running && earlier->name == task.name) supersede(*earlier, task);
}

// Ends the entry with the earlier id: the worker sends messages about the task under the later id only, so
// the earlier one would never end. A client that chose the later id itself waits for that one only and is
// sent no release for the earlier.
void AdoptionController::supersede(InFlightTask& earlier, const InFlightTask& later) {
    ++context_.statistics.running_tasks_lost;
    context_.log(log::Level::info, "task_lost",
                 {{"task", earlier.name},
                  {"id", earlier.id},
                  {"worker", earlier.worker->name()},
                  {"reason", ledger::to_string(ledger::TaskLossReason::superseded)},
                  {"later_id", later.id}});
    const bool is_copy =
        earlier.worker != later.worker && earlier.record->queue_group->effect == Effect::idempotent;
    if (earlier.client_address != later.client_address)
        lifecycle_.notify_task_ended(earlier, platform_codec::Cause::reset);
    earlier.worker->remove_running(earlier, is_copy);
    lifecycle_.end_attempt(earlier, AttemptOutcome::cancelled, OutcomeReason::unspecified, {}, true);
}

}  // namespace whinpost::platform
