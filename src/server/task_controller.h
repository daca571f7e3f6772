// Admits tasks from clients, submits them to the planner, and answers each task by its deadline.
#pragma once
#include <string>
#include <vector>

#include "server/attempt_controller.h"
#include "server/in_flight_task.h"
#include "server/task_answers.h"

namespace whinpost::v1 {
class SubmitTask;
}

namespace whinpost::server {

class TaskController final : private TaskDeadlineHandler {
public:
    // `queue_groups`: the names of the queue groups, in the order of the ledger's.
    TaskController(ServerContext&, TaskTable&, TaskAnswers&, AttemptController&, slow_start::TokenClient&,
                   std::vector<std::string> queue_groups);

    // ---- requests of clients, which must have passed check_request()
    // Admits the task and submits it to the planner, or rejects it at once.
    void submit(ClientConnection&, const v1::SubmitTask&);
    // Adopts a task that already runs on the worker, started by another placer or by an earlier incarnation
    // of this one.
    void adopt(ClientConnection&, const v1::SubmitTask&, WorkerPeer&);
    // Removes the task from the planner; an attempt that may be at a worker is cancelled there.
    void cancel(InFlightTask&);
    // Cancels the client's tasks that wait for an answer. Placed tasks keep running: the client hands them
    // over to a placer when it reconnects.
    void on_client_disconnected(ClientConnection&);

    // ---- decisions of the planner
    void reject(planner::TaskNumber, Nanos retry_after);
    void fail(planner::TaskNumber);

    const std::vector<std::string>& queue_groups() const { return queue_groups_; }

private:
    void on_answer_deadline(InFlightTask&) override;
    void on_attempt_deadline(InFlightTask& task) override { attempts_.on_deadline(task); }
    void on_retention_end(InFlightTask& task) override { answers_.erase(task); }

    void reject_at_admission(ClientConnection&, const v1::SubmitTask&, admission::AdmissionLimit);
    InFlightTask& add_task(ClientConnection&, const v1::SubmitTask&, ledger::TaskRecord&);

    ServerContext& context_;
    TaskTable& tasks_;
    TaskAnswers& answers_;
    AttemptController& attempts_;
    slow_start::TokenClient& tokens_;
    const std::vector<std::string> queue_groups_;
};

}  // namespace whinpost::server
