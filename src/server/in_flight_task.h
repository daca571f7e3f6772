// One task that the server holds, from its submission or adoption until no message about it can arrive.
#pragma once
#include <cstdint>
#include <string>

#include "ledger/ledger.h"
#include "timer_wheel/timer_wheel.h"

namespace whinpost::server {

class ClientConnection;
struct InFlightTask;

// Called when one of a task's deadlines has passed.
class TaskDeadlineHandler {
public:
    virtual ~TaskDeadlineHandler() = default;
    virtual void on_answer_deadline(InFlightTask&) = 0;
    virtual void on_attempt_deadline(InFlightTask&) = 0;
    virtual void on_retention_end(InFlightTask&) = 0;  // may destroy the task
};

struct InFlightTask {
    InFlightTask(TaskDeadlineHandler& deadline_handler, ledger::TaskRecord& task_record)
        : handler(deadline_handler), record(&task_record), answer_deadline(*this), attempt_deadline(*this),
          retention(*this) {}

    template <void (TaskDeadlineHandler::*Method)(InFlightTask&)>
    struct DeadlineTimer final : timer_wheel::Timer {
        explicit DeadlineTimer(InFlightTask& owner) : task(owner) {}
        void on_deadline(Nanos) override { (task.handler.*Method)(task); }
        InFlightTask& task;
    };

    TaskDeadlineHandler& handler;
    ledger::TaskRecord* record;          // not owned: owned by the ledger
    ClientConnection* client = nullptr;  // not owned; null once the client has disconnected
    std::uint64_t client_task_id = 0;    // the task's id on the client's connection
    std::string service;
    bool counted_as_waiting = true;  // admission control counts the task as waiting for an answer
    bool is_migrating = false;
    bool is_cancelled = false;  // by a CancelTask from its client, or by the client's disconnection
    int attempts_decided = 0;   // as the planner counts them, including those that the ledger refused
    std::string last_failure;   // why the latest attempt failed; sent to the client as the reason
    // An attempt that was accepted after its deadline, of a task that must not run twice. The client is sent
    // TaskFound with its worker.
    ledger::Attempt* late_attempt = nullptr;
    DeadlineTimer<&TaskDeadlineHandler::on_answer_deadline> answer_deadline;
    DeadlineTimer<&TaskDeadlineHandler::on_attempt_deadline> attempt_deadline;
    DeadlineTimer<&TaskDeadlineHandler::on_retention_end> retention;
};

}  // namespace whinpost::server
