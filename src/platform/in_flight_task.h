// A client's task from its request or report until it is discarded: the data that its attempts need, and
// where its answer and its end are sent.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "ledger/ledger.h"
#include "ledger/release_delivery.h"
#include "ledger/task_liveness.h"
#include "timer_wheel/timer_wheel.h"
#include "whinpost/scheduler.h"

namespace whinpost::platform {

class ClientConnection;
class PooledWorker;
class WorkerConnection;
struct InFlightTask;

// Called when the client's time for an answer is over, whether or not the planner has answered.
class AnswerDeadlineHandler {
public:
    virtual ~AnswerDeadlineHandler() = default;
    virtual void on_answer_deadline(InFlightTask&, Nanos now) = 0;
};

// Called when the attempt in flight was not accepted within its time limit.
class AttemptTimeoutHandler {
public:
    virtual ~AttemptTimeoutHandler() = default;
    virtual void on_attempt_timeout(InFlightTask&) = 0;
};

struct InFlightTask {
    InFlightTask(AnswerDeadlineHandler& deadline_handler, AttemptTimeoutHandler& timeout_handler)
        : answer_deadline(deadline_handler, *this), attempt_timeout(timeout_handler, *this) {}

    // The sender of a report of a task that was already known: the same client on another connection, or
    // another client, at the same or another address.
    struct OtherReporter {
        std::string address;
        ledger::ConnectionNumber connection;
        Nanos reported_at;
    };
    class AnswerDeadline final : public timer_wheel::Timer {
    public:
        AnswerDeadline(AnswerDeadlineHandler& handler, InFlightTask& task) : handler_(handler), task_(task) {}
        void on_deadline(Nanos now) override { handler_.on_answer_deadline(task_, now); }

    private:
        AnswerDeadlineHandler& handler_;
        InFlightTask& task_;
    };
    class AttemptTimeout final : public timer_wheel::Timer {
    public:
        AttemptTimeout(AttemptTimeoutHandler& handler, InFlightTask& task) : handler_(handler), task_(task) {}
        void on_deadline(Nanos) override { handler_.on_attempt_timeout(task_); }

    private:
        AttemptTimeoutHandler& handler_;
        InFlightTask& task_;
    };

    std::uint64_t id = 0;                  // chosen by the client; passed on to workers unchanged
    ledger::TaskRecord* record = nullptr;  // owned by the ledger until the task is discarded
    // The task's own connection, on which its answer and its end are sent; null once closed or answered.
    ClientConnection* client = nullptr;
    Nanos client_left_at = 0;    // valid if `client` is null and the task runs
    std::string client_address;  // to find another connection of the same client
    // Of the request; the description is freed once the task runs.
    std::string queue_group, name, key, description;
    PooledWorker* worker = nullptr;          // that has the attempt in flight or runs the task
    WorkerConnection* connection = nullptr;  // on which the attempt in flight was sent or waits to be sent
    bool running = false;
    bool counted_for_client = false;  // in the running tasks of `client`
    ledger::TaskLiveness liveness;    // valid while the task runs
    std::vector<OtherReporter> other_reporters;
    // An earlier id of the running task, whose entry is ended once the worker confirms this id; 0: none.
    std::uint64_t supersedes = 0;
    // A note from the worker shows that the attempt in flight runs, though its answer has not arrived.
    bool reported_running = false;
    AnswerDeadline answer_deadline;
    AttemptTimeout attempt_timeout;
};

}  // namespace whinpost::platform
