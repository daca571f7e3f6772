#include "server/task_controller.h"

#include <algorithm>

#include "server/client_connection.h"
#include "server/request_check.h"
#include "server/worker_peer.h"

namespace whinpost::server {

namespace {
using log::Level;

// How long before the client's deadline the answer is sent, so that it arrives in time: the minimum covers a
// busy event loop and the network within one site, and a fiftieth of the time left is added.
constexpr Nanos kMinAnswerMargin = 20 * kMillisecond;
constexpr Nanos kAnswerMarginDivisor = 50;
Nanos answer_margin(Nanos time_left) {
    return std::min(time_left / 2, kMinAnswerMargin + time_left / kAnswerMarginDivisor);
}

// The retry_after of a rejection at admission, so that rejected tasks are not resubmitted at once. Below the
// delay of about a second that clients use on their own.
constexpr Nanos kAdmissionRetryAfter = 500 * kMillisecond;

constexpr const char* kUnknownTask = "no such task";

std::string_view last_failure_or(const InFlightTask& task, std::string_view otherwise) {
    return task.last_failure.empty() ? otherwise : std::string_view(task.last_failure);
}
}  // namespace

TaskController::TaskController(ServerContext& context, TaskTable& tasks, TaskAnswers& answers,
                               AttemptController& attempts, slow_start::TokenClient& tokens,
                               std::vector<std::string> queue_groups)
    : context_(context), tasks_(tasks), answers_(answers), attempts_(attempts), tokens_(tokens),
      queue_groups_(std::move(queue_groups)) {}

void TaskController::submit(ClientConnection& client, const v1::SubmitTask& message) {
    const Nanos now = context_.now();
    ResourceRequest request = resource_request(message, queue_groups_);
    request.time_left -= answer_margin(message.time_left());
    const admission::AdmissionLimit limit = context_.admission.admit(now, *client.share, request.queue_group);
    if (limit != admission::AdmissionLimit::none) return reject_at_admission(client, message, limit);
    const std::uint64_t service = stable_hash(message.service());
    ledger::TaskRecord& record = context_.ledger.create_task(now, message.task(), service, request);
    InFlightTask& task = add_task(client, message, record);
    task.service = message.service();
    context_.timers.arm(task.answer_deadline, record.deadline);
    v1::ToClient reply;
    reply.mutable_received()->set_id(message.id());
    client.send(reply);
    context_.planner->submit(now, record.number, service, request);
    tokens_.on_task_submitted(now);
    context_.rounds.schedule_round();
}

void TaskController::reject_at_admission(ClientConnection& client, const v1::SubmitTask& message,
                                         admission::AdmissionLimit limit) {
    ++context_.statistics.admission_rejections;
    v1::ToClient reply;
    reply.mutable_rejected()->set_id(message.id());
    reply.mutable_rejected()->set_retry_after(kAdmissionRetryAfter);
    reply.mutable_rejected()->set_reason(std::string(admission::to_string(limit)));
    client.send(reply);
    context_.log(
        Level::debug, "admission_rejected",
        {{"client", client.name()}, {"task", message.task()}, {"limit", admission::to_string(limit)}});
}

InFlightTask& TaskController::add_task(ClientConnection& client, const v1::SubmitTask& message,
                                       ledger::TaskRecord& record) {
    TaskDeadlineHandler& handler = *this;
    InFlightTask& task = tasks_.add(std::make_unique<InFlightTask>(handler, record));
    task.client = &client;
    task.client_task_id = message.id();
    client.open_tasks[message.id()] = &task;
    return task;
}

void TaskController::adopt(ClientConnection& client, const v1::SubmitTask& message, WorkerPeer& peer) {
    const Nanos now = context_.now();
    const ResourceRequest request = resource_request(message, queue_groups_);
    const std::uint64_t service = stable_hash(message.service());
    attempts_.end_earlier_attempts(peer, message.task());
    ledger::TaskRecord& record =
        context_.ledger.adopt_task(now, message.task(), service, request, peer.record);
    InFlightTask& task = add_task(client, message, record);
    task.counted_as_waiting = false;
    task.attempts_decided = 1;
    ledger::Attempt& attempt = record.attempts.front();
    tasks_.add_attempt(attempt);
    context_.planner->adopt(now, record.number, service, request, peer.number);
    peer.connection.adopt(attempt);
    context_.rounds.schedule_round();
}

void TaskController::cancel(InFlightTask& task) {
    const Nanos now = context_.now();
    ledger::TaskRecord& record = *task.record;
    task.is_cancelled = true;
    context_.ledger.record_answer(now, record, ledger::Answer::cancelled);
    answers_.stop_counting_as_waiting(task);
    context_.planner->cancel(now, record.number);
    attempts_.cancel_in_flight(task);
    answers_.retire_if_closed(task);
    context_.rounds.schedule_round();
}

void TaskController::on_client_disconnected(ClientConnection& client) {
    const std::vector<InFlightTask*> tasks = tasks_.tasks_of(client);
    context_.log(Level::info, "client_disconnected", {{"client", client.name()}, {"tasks", tasks.size()}});
    for (InFlightTask* task : tasks) {
        answers_.stop_counting_as_waiting(*task);
        task->client = nullptr;
        if (task->record->answer == ledger::Answer::none) cancel(*task);
    }
    client.open_tasks.clear();
}

void TaskController::reject(planner::TaskNumber number, Nanos retry_after) {
    InFlightTask* task = tasks_.find(number);
    if (!task) return context_.report_planner_fault("reject", number, kUnknownTask);
    // The planner may have decided before it was notified of a cancellation, an acceptance or the answer
    // deadline.
    if (task->record->answer != ledger::Answer::none) return;
    if (!context_.ledger.may_reject(*task->record))
        return context_.report_planner_fault("reject", number, "an attempt may have run");
    answers_.send_answer(*task, ledger::Answer::rejected, retry_after,
                         last_failure_or(*task, "no node has room"));
}

void TaskController::fail(planner::TaskNumber number) {
    InFlightTask* task = tasks_.find(number);
    if (!task) return context_.report_planner_fault("fail", number, kUnknownTask);
    if (task->record->answer != ledger::Answer::none) return;
    answers_.send_answer(*task, ledger::Answer::failed, 0, last_failure_or(*task, "no launch was answered"));
}

// The client's deadline is near. The attempt in flight is ended first, to which the planner may respond with
// an answer. If it does not, the ledger determines the answer: rejected if no attempt can have run, else
// failed.
void TaskController::on_answer_deadline(InFlightTask& task) {
    const planner::TaskNumber number = task.record->number;
    if (task.record->answer != ledger::Answer::none) return;
    attempts_.on_deadline(task);
    InFlightTask* still_held = tasks_.find(number);
    if (!still_held || still_held->record->answer != ledger::Answer::none) return;
    ++context_.ledger.statistics().answered_by_deadline;
    context_.planner->cancel(context_.now(), number);
    answers_.send_answer(*still_held, context_.ledger.rejected_or_failed(*still_held->record), 0,
                         last_failure_or(*still_held, "no node in time"));
    context_.rounds.schedule_round();
}

}  // namespace whinpost::server
