// Takes tasks from clients, gives them to the planner, and sees to it that each gets its answer in time.
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
    // `queue_groups`: their names, in the order of the ledger's groups.
    TaskController(ServerContext&, TaskTable&, TaskAnswers&, AttemptController&, slow_start::TokenClient&,
                   std::vector<std::string> queue_groups);

    // ---- requests of clients, which were checked
    // Admits the task and hands it to the planner, or rejects it at once.
    void submit(ClientConnection&, const v1::SubmitTask&);
    // A task that runs on the worker already, started by another placer.
    void adopt(ClientConnection&, const v1::SubmitTask&, WorkerPeer&);
    // A task that waits leaves the planner at once; what may be at a worker is cancelled there.
    void cancel(InFlightTask&);
    // Placed tasks run on: their client hands them over to a placer when it is back. Those that wait are
    // cancelled.
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
