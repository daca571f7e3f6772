// One task of a client while the server holds it: what its attempts need, and where its answer goes.
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

// Called when a task's client waits no longer, whether or not the planner has answered.
class AnswerDeadlineHandler {
public:
    virtual ~AnswerDeadlineHandler() = default;
    virtual void on_answer_deadline(InFlightTask&, Nanos now) = 0;
};

// Called when the attempt in flight has had its time without being accepted.
class AttemptTimeoutHandler {
public:
    virtual ~AttemptTimeoutHandler() = default;
    virtual void on_attempt_timeout(InFlightTask&) = 0;
};

struct InFlightTask {
    InFlightTask(AnswerDeadlineHandler& deadline_handler, AttemptTimeoutHandler& timeout_handler)
        : answer_deadline(deadline_handler, *this), attempt_timeout(timeout_handler, *this) {}

    // A client that reported a task which was known already: the same client on another connection, or
    // another one at its address or elsewhere.
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

    std::uint64_t id = 0;                  // the client's; passed on to workers unchanged
    ledger::TaskRecord* record = nullptr;  // owned by the ledger until the task is discarded
    ClientConnection* client = nullptr;    // the connection it came on, while that is open
    std::string client_address;            // by which another connection of the same client is found
    std::string queue_group, name, key, description;  // of the request; description is freed once it runs
    PooledWorker* worker = nullptr;                   // with an attempt in flight, or running the task
    WorkerConnection* connection = nullptr;           // that the attempt in flight waits for or was sent on
    bool running = false;
    bool counted_for_client = false;  // among the running tasks of its client's connection
    ledger::TaskLiveness liveness;    // valid while it runs
    std::vector<OtherReporter> other_reporters;
    std::uint64_t supersedes = 0;  // the id under which it ran before, if this one is its worker's; 0: none
    // A note shows that the attempt in flight runs, though no answer has come.
    bool reported_running = false;
    AnswerDeadline answer_deadline;
    AttemptTimeout attempt_timeout;
};

}  // namespace whinpost::platform
