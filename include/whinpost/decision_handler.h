// Receives the scheduler's decisions.
#pragma once
#include <string_view>

#include "whinpost/nanos.h"

namespace whinpost {

class Task;
struct Worker;

// Called from within the scheduler's functions. Must not call back into the scheduler.
class DecisionHandler {
public:
    virtual ~DecisionHandler() = default;
    virtual void place(Task&, Worker&, Nanos attempt_timeout) = 0;
    virtual void reject(Task&, Nanos retry_after) = 0;  // the client may safely submit the task again
    virtual void fail(Task&) = 0;                       // the task may have run
    virtual void migrate(Task&) = 0;
    virtual void cancel_attempt(Task&, int attempt) = 0;
    virtual void check_health(Worker&) = 0;
    virtual void watch_endpoints() = 0;
    virtual void fetch_endpoints() = 0;
    virtual void wake_at(Nanos at) = 0;  // requests a call of run_round() at that time
    virtual void log(std::string_view line) = 0;
};

}  // namespace whinpost
